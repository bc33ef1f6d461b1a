/// \file
/// Takes part in the election of the leader: executes the actions of the leadership core as calls to the platform's store.

#pragma once

#include "core/leadership/leadership.h"
#include "platform/store.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

/// Key under which the leader writes its claim. Writes that only the leader may make name this key and the claim's revision in their
/// conditions.
constexpr std::string_view LeaderKey = "auburnspread/leader";

struct ElectionCallbacks {
    std::function<void(std::uint64_t token)> onTermBegun;
    std::function<void(std::uint64_t token, leadership::TermEnd reason)> onTermEnded;
    std::function<void(std::string_view what, const std::string &detail)> onInvalid; ///< the store returned data that cannot be decoded
};

class Election
{
public:
    Election(task::EventLoop &loop, std::string store, leadership::Options options, ElectionCallbacks callbacks);

    auto start() -> void;
    /// Sets whether this entry may become the leader.
    auto setEligible(bool isEligible) -> void;
    /// The store states this era, as other calls of this entry or other entries show.
    auto observeEra(std::uint64_t era) -> void;
    /// The platform refused a call with \p token, since a later term has started.
    auto handleTokenRefused(std::uint64_t token) -> void;

    /// \return the fencing token of the current term, or nothing if this entry is not the leader now
    [[nodiscard]] auto token() const -> std::optional<std::uint64_t>;
    /// Number of calls to the store.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    using OnResponse = std::function<void(const http::Response &response)>;

    auto apply(const leadership::Event &event) -> void;
    auto execute(const leadership::ReadClaim &action) -> void;
    auto execute(const leadership::WatchClaim &action) -> void;
    auto execute(const leadership::AcquireLease &action) -> void;
    auto execute(const leadership::WriteClaim &action) -> void;
    auto execute(const leadership::RenewLease &action) -> void;
    auto execute(const leadership::EndLease &action) -> void;
    auto execute(const leadership::TermBegun &action) -> void;
    auto execute(const leadership::TermEnded &action) -> void;

    auto callStore(std::uint64_t call, const http::Request &request, OnResponse onResponse) -> void;
    auto handleClaim(std::uint64_t call, const http::Response &response) -> void;
    auto handleClaimChange(std::uint64_t call, const http::Response &response) -> void;
    auto handleFailure(std::uint64_t call, leadership::CallFailure failure) -> void;

    task::EventLoop &loop_;
    std::string storeAddress_;
    ElectionCallbacks callbacks_;
    http::Client client_;
    leadership::State state_;
    leadership::ClaimRead lastRead_; ///< newest claim read; a watch that ends without changes confirms it
    std::uint64_t calls_ = 0;
    task::Watch timer_;
};

} // namespace auburnspread::gateway
