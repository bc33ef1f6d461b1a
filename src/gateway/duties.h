/// \file
/// What one entry does for all: it reports the usage of workspaces and orders backend servers. Any entry that reads the store may be the
/// one; the others tell it what they counted.

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
    /// \p router, \p known and \p accounting must outlive it.
    Duties(task::EventLoop &loop,
           const GatewaySettings &settings,
           std::uint64_t incarnation,
           const passthrough::RouterState &router,
           const DirectoryState &known,
           Accounting &accounting);

    auto start() -> void;
    /// Whether this entry may lead: it reads the store, serves and is not leaving.
    auto setEligible(bool isEligible) -> void;
    [[nodiscard]] auto leads() const -> bool;
    auto takeConfiguration(const passthrough::Configuration &configuration) -> void;

    /// A request of the workspace began to run on a backend server.
    auto noteBegun(const std::string &workspace, TimePoint at) -> void;
    /// For those that may lead; nothing where usage is not reported.
    auto makeReport() -> std::optional<usage::Report>;
    auto hear(const usage::Report &report) -> void;

    /// To the store and the platform's interface.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto tick() -> void;
    auto beginTerm(std::uint64_t token) -> void;
    auto endTerm(std::uint64_t token, leadership::TermEnd reason) -> void;
    auto orderServers(std::uint64_t token) -> void;
    [[nodiscard]] auto situationOf(const passthrough::Service &service) const -> ordering::ServiceSituation;

    task::EventLoop &loop_;
    adapter::Duties duties_;
    const passthrough::RouterState &router_;
    const DirectoryState &known_;
    Accounting &accounting_;
    Election election_;
    UsageReports usage_;
    ServerOrders orders_;
    std::vector<passthrough::Service> orderable_; ///< services whose servers can be ordered
    TimePoint termBegunAt_;
    task::Watch timer_;
};

} // namespace auburnspread::gateway
