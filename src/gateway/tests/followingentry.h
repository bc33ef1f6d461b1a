/// \file
/// Test harness: an entry that reads the store once and then follows another entry, the reader, whose responses the test controls.

#pragma once

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "gateway/documentfetcher.h"
#include "gateway/fleet.h"
#include "platform/standins/storestandin.h"
#include "platform/standins/wiretext.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace auburnspread::gateway::tests
{

/// A configuration with one route, `/fetch/`, that needs no key.
auto makeConfigurationText(std::uint64_t version) -> std::string;

/// Another entry that reads the store. It offers its configuration, and serves parts of it only while \c sendsParts is set.
struct Reader {
    explicit Reader(task::EventLoop &loop);

    http::Server server;
    DirectoryState state;
    std::string address;
    bool sendsParts = false;
    std::function<void()> onQuery; ///< called before a directory query is answered
    std::uint64_t queries = 0;
};

/// An entry that queries the reader. It read the store once, at its start, and the store has not responded since.
struct FollowingEntry {
    explicit FollowingEntry(std::uint64_t version = 1);

    /// The reader has this version from now on.
    auto offer(std::uint64_t version) -> void;
    /// Sends a request without a key. \return its refusal, if it is refused
    auto requestWithoutKey(Fingerprint fingerprint = {}) -> std::optional<passthrough::Refuse>;
    auto isOutOfDate() -> bool;
    /// Latest time as of which the entry's configuration is confirmed.
    [[nodiscard]] auto confirmedAt() const -> TimePoint;

    task::EventLoop loop;
    adapter::standins::StoreStandin store{ loop };
    Reader reader{ loop };
    passthrough::RouterStatePointer router = passthrough::makeRouter({ .entry = "entry-1", .failureDomain = "a" });
    Accounting accounting;
    Fleet fleet;
    std::uint64_t lastRequest = 0;
};

} // namespace auburnspread::gateway::tests
