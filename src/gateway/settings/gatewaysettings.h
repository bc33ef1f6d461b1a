/// \file
/// Settings of the pass-through entry.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/enginemodel.h"
#include "runtime/memory/account.h"
#include "runtime/settings/schema.h"
#include "runtime/settings/settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

constexpr std::size_t DefaultDescriptors = 1024;

struct GatewaySettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string readinessAddress;
    std::string addressesAddress; ///< listen address for callers' queries of the entries' addresses
    std::string peerAddress;
    std::string metricsAddress;
    std::vector<std::string> seeds; ///< peer addresses of entries that may be running when this one starts
    std::string storeAddress;
    std::uint32_t strength = 0;                        ///< relative capacity of the VM; the strongest entries are chosen to read the store
    std::size_t memoryBytes = memory::SmallestVmBytes; ///< of the VM
    std::size_t descriptors = DefaultDescriptors;      ///< that the process may have open
    Duration leaseTime{};
    std::string dutyApi;           ///< address of the platform's interface for the duties of the leader; empty: there is none
    std::string duties;            ///< leader's duties that this deployment has, by the platform's names, separated by commas
    Duration leaderLease{};        ///< after the loss of a leader, there is none for this time
    Duration usageWindow{};        ///< length of a usage report's window
    Duration usageDue{};           ///< time after the end of a window by which its report is due
    Duration keyWithdrawal{};      ///< longest time for which a withdrawn key is still accepted
    Duration configurationApply{}; ///< time after which an accepted configuration is in force on all entries
    Duration leavingTime{};        ///< longest time from the termination signal to the exit of the process
    double retryRatio = 0;         ///< retries allowed for each first attempt
    Duration retryWindow{};        ///< window over which retries are counted
    double retryAllowance = 0;     ///< retries allowed in a window in addition, summed over all entries
    Duration keepAddresses{};      ///< longest time for which callers may cache the entries' addresses
    passthrough::EngineModelMode engineModel{};
    std::string logLevel;

    auto operator==(const GatewaySettings &) const -> bool = default;
};

/// \return \p current with the reloadable settings of \p changed: the time limits, the retry budget and the log level. Names and
/// addresses keep their values, because they identify this entry to other entries, callers and the store.
auto withReloadableSettings(GatewaySettings current, const GatewaySettings &changed) -> GatewaySettings;

auto gatewaySchema() -> settings::Schema;
auto readGatewaySettings(const settings::Settings &settings) -> GatewaySettings;

} // namespace auburnspread::gateway
