/// \file
/// Duties that one entry, the elected leader, performs for the whole fleet: it reports the usage of the workspaces to the platform and
/// orders backend servers. Every entry that reads the store is eligible; the other entries send it their usage counts.

#pragma once

#include "core/passthrough/configuration.h"
#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/directorystate.h"
#include "gateway/election.h"
#include "gateway/serverorders.h"
#include "gateway/settings/gatewaysettings.h"
#include "gateway/usagereports.h"
#include "runtime/task/eventloop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

class Duties
{
public:
    /// \p router, \p known and \p accounting must outlive this object.
    Duties(task::EventLoop &loop,
           const GatewaySettings &settings,
           std::uint64_t incarnation,
           const passthrough::RouterState &router,
           const DirectoryState &known,
           Accounting &accounting);

    /// Starts the election and the periodic work, if the platform has assigned any duty to the entries.
    auto start() -> void;
    /// Sets whether this entry may become the leader: it reads the store, serves requests and is not leaving.
    auto setEligible(bool isEligible) -> void;
    /// The store came back from a copy.
    auto handleStoreRestored(std::uint64_t era) -> void;
    /// Whether this entry is the leader now.
    [[nodiscard]] auto leads() const -> bool;
    /// Takes over the services whose backend servers can be ordered.
    auto applyConfiguration(const passthrough::Configuration &configuration) -> void;

    /// Counts a request of \p workspace that started to run on a backend server.
    auto recordStart(const std::string &workspace, TimePoint at) -> void;
    /// \return the usage counts to send to the eligible entries, or nothing if usage reporting is not one of the duties
    auto makeReport() -> std::optional<usage::Report>;
    /// Takes over the usage counts that another entry sent.
    auto handleReport(const usage::Report &report) -> void;

    /// Number of calls to the store and to the platform's interface.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto tick() -> void;
    auto beginTerm(std::uint64_t token) -> void;
    auto endTerm(std::uint64_t token, leadership::TermEnd reason) -> void;
    auto orderServers(std::uint64_t token) -> void;
    [[nodiscard]] auto makeSituation(const passthrough::Service &service) const -> ordering::ServiceSituation;

    task::EventLoop &loop_;
    adapter::Duties duties_;
    const passthrough::RouterState &router_;
    const DirectoryState &known_;
    Accounting &accounting_;
    Election election_;
    UsageReports usage_;
    ServerOrders orders_;
    std::vector<passthrough::Service> scalableServices_; ///< services whose backend servers can be ordered
    TimePoint termStartedAt_;
    task::Watch timer_;
};

} // namespace auburnspread::gateway
