/// \file
/// Settings of the pass-through entry.

#pragma once

#include "core/base/time.h"
#include "runtime/settings/schema.h"
#include "runtime/settings/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

struct GatewaySettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string readinessAddress;
    std::string addressesAddress; ///< where callers ask for addresses
    std::string peerAddress;
    std::string metricsAddress;
    std::vector<std::string> seeds; ///< peer addresses of entries that may be there when this one starts
    std::string storeAddress;
    std::uint32_t strength = 0; ///< of the VM, for the choice of the entries that read the store
    Duration leaseTime{};
    std::string dutyApi;           ///< address of the platform's interface for what one entry does for all; empty: there is none
    std::string duties;            ///< of these, those that the deployment has, as the platform names them
    Duration leaderLease{};        ///< how long nobody leads after a leader was lost
    Duration usageWindow{};        ///< whose usage is reported together
    Duration usageDue{};           ///< after the end of a window
    Duration keyWithdrawal{};      ///< a key that was taken away may live this long
    Duration configurationApply{}; ///< a configuration that was accepted is in force everywhere after this
    Duration leavingTime{};        ///< from the signal to leave to the end of the process
    double retryRatio = 0;
    Duration retryWindow{};
    double retryAllowance = 0;
    Duration keepAddresses{}; ///< longest time for which callers keep an answer
    std::string logLevel;

    auto operator==(const GatewaySettings &) const -> bool = default;
};

/// \p current with what of \p changed can take effect in a running entry: its bounds and the log level. Names and addresses stay,
/// because other entries, callers and the store know this one by them.
auto withBoundsOf(GatewaySettings current, const GatewaySettings &changed) -> GatewaySettings;

auto gatewaySchema() -> settings::Schema;
auto readGatewaySettings(const settings::Settings &settings) -> GatewaySettings;

} // namespace auburnspread::gateway
