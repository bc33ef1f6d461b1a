/// \file
/// Tells the other entries what this one has in flight, and, as a hub, what many have. In a small fleet each entry tells each other; in
/// a large one, see hubs.h.

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
    /// \p router, \p peers and \p known must outlive it.
    LoadReports(task::EventLoop &loop, passthrough::RouterState &router, PeerExchange &peers, const DirectoryState &known, fleet::EntryRecord self);

    auto start() -> void;
    /// A request was sent to a backend server: the others are told soon.
    auto noteSent() -> void;
    /// A report came: passes it on where others need it.
    auto hear(const passthrough::PeerReported &report) -> void;

private:
    [[nodiscard]] auto isLarge() const -> bool;
    auto sendReport() -> void;
    auto chooseHubs() -> void;
    auto relay(const passthrough::PeerReported &report) -> void;
    auto sendSums() -> void;
    [[nodiscard]] auto membersInTurn() const -> std::vector<std::string>;

    task::EventLoop &loop_;
    passthrough::RouterState &router_;
    PeerExchange &peers_;
    const DirectoryState &known_;
    fleet::EntryRecord self_;

    fleet::Hubs hubs_;
    std::vector<std::string> hubAddresses_; ///< of those other than this entry
    bool isHub_ = false;
    bool isFirstHub_ = false;  ///< in rank
    bool reportedUse_ = false; ///< the last report was not empty
    [[nodiscard]] auto reportsPerSum() const -> int;
    int turn_ = 0; ///< which part of the entries gets the sum next
    TimePoint reportedAt_;
    bool reportsSoon_ = false;
    task::Watch reporter_;
    task::Watch soonReporter_;
};

/// Peer addresses without that of \p self.
auto peerAddresses(const std::vector<fleet::EntryRecord> &entries, const fleet::EntryRecord &self) -> std::vector<std::string>;

} // namespace auburnspread::gateway
