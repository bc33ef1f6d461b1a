#include "soak/socketowner.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

namespace auburnspread::soak
{

namespace
{

/// Targets of the process's descriptors; a socket's is "socket:[INODE]".
auto descriptorsOf(pid_t process) -> std::set<std::string>
{
    std::set<std::string> targets;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
        targets.insert(std::filesystem::read_symlink(entry.path(), error).string());
    }
    return targets;
}

} // namespace

auto localPortsOf(pid_t process) -> std::set<std::uint16_t>
{
    constexpr int Hexadecimal = 16;
    constexpr std::size_t LocalAddress = 1;
    constexpr std::size_t Inode = 9;
    const auto descriptors = descriptorsOf(process);
    std::set<std::uint16_t> ports;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // names of the columns
    while (std::getline(table, line)) {
        std::istringstream text(line);
        const std::vector<std::string> fields{ std::istream_iterator<std::string>(text), {} };
        if (fields.size() > Inode && descriptors.contains("socket:[" + fields[Inode] + "]")) {
            const auto &local = fields[LocalAddress];
            ports.insert(static_cast<std::uint16_t>(std::stoi(local.substr(local.find(':') + 1), nullptr, Hexadecimal)));
        }
    }
    return ports;
}

} // namespace auburnspread::soak
