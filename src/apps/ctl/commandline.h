/// \file
/// The command line of auburnspreadctl.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::ctl
{

/// Exit codes are part of the interface: scripts decide by them.
enum class ExitCode {
    Done = 0,
    Negative = 1,    ///< check: faults; diff: differences; status: not in force everywhere; explain: no such reason
    Usage = 2,       ///< the command line is wrong; nothing was done
    Unreachable = 3, ///< the platform's service or the entry does not answer; nothing changed
    Unknown = 4,     ///< a write was sent and its fate could not be learnt; look before trying again
    Conflict = 5,    ///< another submission came first; nothing changed
    Partial = 6,     ///< some entries did what was asked and others did not answer
};

enum class Command {
    Check,
    Diff,
    Submit,
    Show,
    Status,
    Entries,
    Drain,
    QuarantineList,
    QuarantineRelease,
    Explain,
    Collect,
};

struct Invocation {
    Command command{};
    std::string argument; ///< file, name, fingerprint or reason
    bool json = false;
    std::string platformAddress = "127.0.0.10:8500";
    std::vector<std::string> entryAddresses;    ///< to ask while the platform's service is out
    std::string token;                          ///< of the entries' admin side
    std::string author;                         ///< of a submission
    std::optional<std::uint64_t> editedVersion; ///< of a submission; absent: there is no document yet
    std::uint32_t watchSeconds = 0;             ///< collect: look again until then
};

/// Ends the program at once: help, version or a wrong command line.
struct Exit {
    ExitCode code{};
    std::string output; ///< to standard output if the code is Done, else to standard error
};

auto parseCommandLine(int argc, char **argv) -> std::variant<Invocation, Exit>;

} // namespace auburnspread::ctl
