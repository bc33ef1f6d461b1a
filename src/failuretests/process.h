/// \file
/// A child process of a test: started from the build's binaries, ended by its own pid whatever becomes of the test.

#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnspread::failuretests
{

struct ProcessOptions {
    std::string program; ///< name of a binary of the build, or the full path of another one
    std::vector<std::string> arguments;
    std::filesystem::path output;                ///< file for standard output and error
    std::optional<std::size_t> descriptors = {}; ///< that it may have open; not set: as many as the test
};

class Process
{
public:
    explicit Process(const ProcessOptions &options);
    /// Kills the process if it still runs.
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    auto signal(int number) -> void;
    /// Exit code, or the negative number of the signal that ended it; nothing while it runs.
    [[nodiscard]] auto exitCode() -> std::optional<int>;
    [[nodiscard]] auto pid() const -> pid_t
    {
        return pid_;
    }
    /// What it wrote so far.
    [[nodiscard]] auto output() const -> std::string;

private:
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
    std::filesystem::path output_;
};

} // namespace auburnspread::failuretests
