/// \file
/// The record by which entries know each other.

#pragma once

#include <cstdint>
#include <string>

namespace auburnspread::fleet
{

/// Identity and addresses of one entry.
struct EntryRecord {
    std::string name; ///< unique in the deployment
    std::string callerAddress;
    std::string peerAddress;
    std::string failureDomain;
    std::uint32_t strength = 0;    ///< capacity of the VM's link and processor; ranks candidates for readers and hubs
    std::uint64_t incarnation = 0; ///< changes with each start of the entry

    auto operator==(const EntryRecord &) const -> bool = default;
};

} // namespace auburnspread::fleet
