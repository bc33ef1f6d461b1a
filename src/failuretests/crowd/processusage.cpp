#include "failuretests/crowd/processusage.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>
#include <string_view>
#include <system_error>

#include <arpa/inet.h>

namespace auburnspread::failuretests
{

namespace
{

constexpr int HexBase = 16;

auto pathOf(pid_t process, const std::string &file) -> std::string
{
    return "/proc/" + std::to_string(process) + "/" + file;
}

auto socketInodes(pid_t process) -> std::set<std::string>
{
    constexpr std::string_view Prefix = "socket:[";
    std::set<std::string> inodes;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(pathOf(process, "fd"), error)) {
        const auto target = std::filesystem::read_symlink(entry.path(), error).string(); // the process may close it meanwhile
        if (target.starts_with(Prefix)) {
            inodes.insert(target.substr(Prefix.size(), target.size() - Prefix.size() - 1));
        }
    }
    return inodes;
}

/// A line of the process's status, which is in kilobytes; 0 if there is none.
auto statusBytes(pid_t process, const std::string &name) -> std::size_t
{
    constexpr std::size_t Kilobyte = 1024;
    std::ifstream file(pathOf(process, "status"));
    std::string word;
    while (file >> word && word != name) {}
    std::size_t kilobytes = 0;
    file >> kilobytes;
    return kilobytes * Kilobyte;
}

} // namespace

auto residentBytes(pid_t process) -> std::size_t
{
    return statusBytes(process, "VmRSS:");
}

auto peakResidentBytes(pid_t process) -> std::size_t
{
    return statusBytes(process, "VmHWM:");
}

auto openDescriptors(pid_t process) -> std::size_t
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(pathOf(process, "fd"), error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

auto isAsleep(pid_t process) -> bool
{
    std::ifstream file(pathOf(process, "stat"));
    file.ignore(std::numeric_limits<std::streamsize>::max(), ')');
    char state = 0;
    file >> state;
    return state == 'S';
}

auto unreadBytes(pid_t process, const std::string &host) -> std::size_t
{
    const auto own = socketInodes(process);
    std::array<char, sizeof "00000000:"> address{};
    std::snprintf(address.data(), address.size(), "%08X:", ::inet_addr(host.c_str()));
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::size_t total = 0;
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    std::string timer;
    std::string retransmits;
    std::string user;
    std::string timeout;
    std::string inode;
    while (file >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode && std::getline(file, line)) {
        constexpr auto Listening = "0A"; // its queue counts connections
        if ((local.starts_with(address.data()) || own.contains(inode)) && state != Listening) {
            total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, HexBase);
        }
    }
    return total;
}

} // namespace auburnspread::failuretests
