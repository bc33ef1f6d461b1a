/// \file
/// The settings of an entry process: their declaration and their typed form.

#pragma once

#include "core/base/time.h"
#include "runtime/settings/schema.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::settings
{
class Settings;
}

namespace auburnspread::entry
{

struct EntrySettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    bool naive = false; ///< the baseline policy, for measurements only
    std::uint64_t seed = 1;
    Duration drainLinger{}; ///< how long after the last request a draining entry still redirects callers
    std::string callerAddress;
    std::string adminAddress;
    std::string peerAddress;
    std::string platformAddress;
    Duration leaseTime{};
    std::vector<std::string> seeds;
    std::string peerSecret;
    std::string adminToken;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t connections = 0;
    std::size_t streamBufferBytes = 0;
    std::size_t memoryBytes = 0; ///< of the VM
    Duration readTimeout{};
    Duration idleTimeout{};
    Duration connectTimeout{};
    std::string logLevel;
    std::string logFile;
};

auto entrySchema() -> settings::Schema;
auto readEntrySettings(const settings::Settings &settings) -> EntrySettings;

} // namespace auburnspread::entry
