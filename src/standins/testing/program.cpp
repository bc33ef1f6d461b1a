#include "standins/testing/program.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace auburnspread::standins
{

namespace
{

constexpr int StartBoundMilliseconds = 30'000;

auto startProcess(const std::string &binary, const std::vector<std::string> &arguments, int output) -> pid_t
{
    std::vector<char *> words = { const_cast<char *>(binary.c_str()) };
    for (const auto &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    const auto pid = ::fork();
    if (pid == 0) {
        ::dup2(output, STDOUT_FILENO);
        ::execv(binary.c_str(), words.data());
        ::_exit(127);
    }
    return pid;
}

/// Reads to the end of the line, of the output or of the time, whichever comes first.
auto readLine(int descriptor) -> std::string
{
    std::string line;
    while (line.find('\n') == std::string::npos) {
        pollfd item{ .fd = descriptor, .events = POLLIN, .revents = 0 };
        std::array<char, 256> bytes{};
        if (::poll(&item, 1, StartBoundMilliseconds) != 1) {
            return line;
        }
        const auto count = ::read(descriptor, bytes.data(), bytes.size());
        if (count <= 0) {
            return line;
        }
        line.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return line;
}

} // namespace

Program::Program(const std::string &binary, const std::vector<std::string> &arguments)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    output_ = ends[0];
    pid_ = startProcess(binary, arguments, ends[1]);
    ::close(ends[1]);
    readAddresses();
}

Program::~Program()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    ::close(output_);
}

auto Program::readAddresses() -> void
{
    const auto line = readLine(output_);
    std::istringstream words(line);
    std::string listening;
    std::string address;
    std::string controlWord;
    std::string control;
    if (!(words >> listening >> address >> controlWord >> control)) {
        throw std::runtime_error("the program did not tell its addresses: '" + line + "'");
    }
    address_ = parseAddress(address);
    control_ = parseAddress(control);
}

auto Program::address() const -> const Address &
{
    return address_;
}

auto Program::control() const -> const Address &
{
    return control_;
}

auto Program::exitStatus() -> std::optional<int>
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return std::nullopt;
    }
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace auburnspread::standins
