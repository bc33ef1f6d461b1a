/// \file
/// What entries know of each other.

#pragma once

#include <cstdint>
#include <string>

namespace auburnspread::fleet
{

/// One entry: who it is and where it is reached.
struct EntryRecord {
    std::string name; ///< unique in the deployment
    std::string callerAddress;
    std::string peerAddress;
    std::string failureDomain;
    std::uint32_t strength = 0;    ///< of its VM: link and processor, for the choice of readers
    std::uint64_t incarnation = 0; ///< differs between two starts of the entry

    auto operator==(const EntryRecord &) const -> bool = default;
};

} // namespace auburnspread::fleet
