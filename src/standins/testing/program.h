/// \file
/// A stand-in's binary run by a test as a process of its own.

#pragma once

#include "standins/commandline.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace auburnspread::standins
{

/// Killed when the object ends.
class Program
{
public:
    /// Starts \p binary with \p arguments and waits for the line that tells its addresses.
    /// \throws std::runtime_error if it does not come.
    Program(const std::string &binary, const std::vector<std::string> &arguments);
    ~Program();
    Program(const Program &) = delete;
    auto operator=(const Program &) -> Program & = delete;

    [[nodiscard]] auto address() const -> const Address &;
    [[nodiscard]] auto control() const -> const Address &;

    /// The exit status if the process has ended by itself.
    auto exitStatus() -> std::optional<int>;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    Address address_;
    Address control_;

    auto readAddresses() -> void;
};

} // namespace auburnspread::standins
