#include "failuretests/process.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace auburnspread::failuretests
{

namespace
{

constexpr int ExecFailedExit = 127;

/// In the child. The kernel kills it if the test program dies, so that an aborted test leaves nothing behind.
[[noreturn]] auto runChild(const std::string &path, std::vector<char *> &arguments, const ProcessOptions &options, pid_t parent) -> void
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(ExecFailedExit);
    }
    constexpr int FileMode = 0600;
    const int file = ::open(options.output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (file >= 0) {
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
    }
    if (options.descriptors) {
        const rlimit limit{ .rlim_cur = *options.descriptors, .rlim_max = *options.descriptors };
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execv(path.c_str(), arguments.data());
    ::_exit(ExecFailedExit);
}

} // namespace

Process::Process(const ProcessOptions &options)
    : output_(options.output)
{
    const auto path = (std::filesystem::path(AUBURNSPREAD_BINARY_DIR) / options.program).string();
    std::vector<std::string> words{ path };
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const auto parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) {
        throw std::system_error(errno, std::generic_category(), "process: fork for " + options.program);
    }
    if (pid_ == 0) {
        runChild(path, arguments, options, parent);
    }
}

Process::~Process()
{
    if (exitCode()) {
        return;
    }
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
}

auto Process::signal(int number) -> void
{
    if (exitCode()) {
        throw std::runtime_error("process: signal to " + output_.stem().string() + ", which has ended");
    }
    ::kill(pid_, number);
}

auto Process::exitCode() -> std::optional<int>
{
    if (exitCode_) {
        return exitCode_;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return exitCode_;
}

auto Process::output() const -> std::string
{
    const std::ifstream file(output_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace auburnspread::failuretests
