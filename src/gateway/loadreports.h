/// \file
/// Reports this entry's in-flight requests to the other entries and, as a hub, the aggregates of many entries. In a small fleet each entry
/// reports to every other one; for large fleets see hubs.h.

#pragma once

#include "core/base/time.h"
#include "core/fleet/entryrecord.h"
#include "core/fleet/hubs.h"
#include "core/passthrough/router.h"
#include "gateway/directorystate.h"
#include "gateway/peerexchange.h"
#include "runtime/task/eventloop.h"

#include <string>
#include <vector>

namespace auburnspread::gateway
{

class LoadReports
{
public:
    /// \p router, \p peers and \p known must outlive the reports.
    LoadReports(task::EventLoop &loop, passthrough::RouterState &router, PeerExchange &peers, const DirectoryState &known, fleet::EntryRecord self);

    auto start() -> void;
    /// Records that a request was sent to a backend server, and schedules a report soon.
    auto recordDispatch() -> void;
    /// Handles a received report: relays it to the hubs that need it.
    auto handleReport(const passthrough::PeerReported &report) -> void;

private:
    [[nodiscard]] auto isLarge() const -> bool;
    auto sendReport() -> void;
    auto chooseHubs() -> void;
    auto relay(const passthrough::PeerReported &report) -> void;
    auto sendAggregates() -> void;
    auto sendSpeeds() -> void;
    [[nodiscard]] auto membersOfDomain() const -> std::vector<std::string>;
    [[nodiscard]] auto nextAggregateRecipients() const -> std::vector<std::string>;

    task::EventLoop &loop_;
    passthrough::RouterState &router_;
    PeerExchange &peers_;
    const DirectoryState &known_;
    fleet::EntryRecord self_;

    fleet::HubSelection hubs_;
    std::vector<std::string> hubAddresses_; ///< peer addresses of the hubs other than this entry
    bool isHub_ = false;
    bool isFirstHub_ = false; ///< this entry has the first rank among the hubs
    bool hadUse_ = false;     ///< the last report contained in-flight requests
    [[nodiscard]] auto reportsPerAggregate() const -> int;
    int speedTurn_ = 0;     ///< report intervals since the samples of the engines' speed were last sent
    int aggregateTurn_ = 0; ///< which subset of the entries receives the aggregate next
    TimePoint lastReportAt_;
    bool isEarlyReportScheduled_ = false;
    task::Watch reportTimer_;
    task::Watch earlyReportTimer_;
};

/// Peer addresses without that of \p self.
auto peerAddresses(const std::vector<fleet::EntryRecord> &entries, const fleet::EntryRecord &self) -> std::vector<std::string>;

} // namespace auburnspread::gateway
