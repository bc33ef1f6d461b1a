/// \file
/// Carries out what the leadership core asks of the platform's store.

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

/// Where the leader claims its term. What others do under its token names this key in their conditions.
constexpr std::string_view LeaderKey = "auburnspread/leader";

struct ElectionCallbacks {
    std::function<void(std::uint64_t token)> onTermBegun;
    std::function<void(std::uint64_t token, leadership::TermEnd reason)> onTermEnded;
    std::function<void(std::string_view what, const std::string &detail)> onInvalid;
};

class Election
{
public:
    Election(task::EventLoop &loop, std::string store, leadership::Options options, ElectionCallbacks callbacks);

    auto start() -> void;
    auto setEligible(bool isEligible) -> void;
    auto noteTokenRefused(std::uint64_t token) -> void;

    /// By which this entry may act at this moment.
    [[nodiscard]] auto token() const -> std::optional<std::uint64_t>;
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    using OnAnswer = std::function<void(const http::Response &response)>;

    auto apply(const leadership::Event &event) -> void;
    auto run(const leadership::ReadClaim &action) -> void;
    auto run(const leadership::WatchClaim &action) -> void;
    auto run(const leadership::AcquireLease &action) -> void;
    auto run(const leadership::WriteClaim &action) -> void;
    auto run(const leadership::RenewLease &action) -> void;
    auto run(const leadership::EndLease &action) -> void;
    auto run(const leadership::TermBegun &action) -> void;
    auto run(const leadership::TermEnded &action) -> void;

    auto fetch(std::uint64_t call, const http::Request &request, OnAnswer onAnswer) -> void;
    auto takeClaim(std::uint64_t call, const http::Response &response) -> void;
    auto takeClaimChange(std::uint64_t call, const http::Response &response) -> void;
    auto fail(std::uint64_t call, leadership::CallFailure failure) -> void;

    task::EventLoop &loop_;
    std::string store_;
    ElectionCallbacks callbacks_;
    http::Client client_;
    leadership::State state_;
    leadership::ClaimRead lastRead_; ///< what a watch without changes confirms
    std::uint64_t calls_ = 0;
    task::Watch timer_;
};

} // namespace auburnspread::gateway
