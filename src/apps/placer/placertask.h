/// \file
/// The placer's one task: an event loop with the core's state, the calls that carry its actions out, and the admin pages.

#pragma once

#include "apps/placer/backendcalls.h"
#include "apps/placer/documentsource.h"
#include "apps/placer/lockkeeper.h"
#include "apps/placer/placersettings.h"
#include "apps/placer/statuspages.h"
#include "core/placement/placer.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"
#include "wire/platform/store.h"
#include "wire/platform/subscription.h"

#include <set>
#include <string>

namespace auburnspread::placer
{

class PlacerTask
{
public:
    /// Listens on the admin address. \throws std::runtime_error naming it
    explicit PlacerTask(const PlacerSettings &settings);

    /// Runs until \p stopDescriptor became readable and what was under way has ended; readable twice: at once.
    auto run(int stopDescriptor) -> void;

    [[nodiscard]] auto adminAddress() const -> const std::string &;

private:
    auto take(const placement::Event &event) -> void;
    auto tick() -> void;
    auto takeVms(const platform::VmList &list) -> void;
    auto serveAdmin() -> void;

    auto carryOut(const placement::AcquireLease &action) -> void;
    auto carryOut(const placement::RenewLease &action) -> void;
    auto carryOut(const placement::ReleaseLease &action) -> void;
    auto carryOut(const placement::ReadDocument &action) -> void;
    auto carryOut(const placement::ReadServer &action) -> void;
    auto carryOut(const placement::SendOrder &action) -> void;
    auto carryOut(const placement::Explain &action) -> void;
    auto carryOut(const placement::Stopped &action) -> void;

    PlacerSettings settings_;
    task::EventLoop loop_;
    PlacerCounters counters_;
    platform::Store store_;
    LockKeeper lock_;
    DocumentSource documents_;
    BackendCalls backends_;
    http::Server admin_;
    std::string adminAddress_;
    placement::PlacerState state_;
    platform::VmSubscription vms_;
    bool releasing_ = false;
    bool stopAsked_ = false;
};

} // namespace auburnspread::placer
