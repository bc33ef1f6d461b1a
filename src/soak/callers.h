/// \file
/// Callers of a soak: they ask the entries where to connect, keep connections open for as long as these last, and tell the
/// ledger what they sent and got.

#pragma once

#include "runtime/task/eventloop.h"
#include "soak/ledger.h"
#include "soak/site.h"
#include "wire/http/client.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace auburnspread::soak
{

struct CallersOptions {
    std::uint64_t seed = 1;
    double requestsPerSecond = 100;
    bool takesStreamsUp = false; ///< some callers leave resumable streams early and take them up at another entry
};

class Callers
{
public:
    Callers(task::EventLoop &loop, CallersOptions options, const Site &site, Ledger &ledger);

    auto start() -> void;
    /// No new requests; those under way end.
    auto stop() -> void;

    [[nodiscard]] auto isIdle() const -> bool;
    /// Requests served since the last one that was not, markers and withdrawn keys aside.
    [[nodiscard]] auto servedInRow() const -> std::size_t;

private:
    auto askAddresses() -> void;
    auto takeAddresses(const std::string &body) -> void;
    auto chooseEntry() -> std::size_t;
    auto send() -> void;
    auto sendKind(const KindRoute &route, std::size_t entry) -> void;
    auto submit(Sent request, const http::Headers &headers, Duration patience) -> void;
    auto takeStreamUp(const Sent &first) -> void;
    auto takeResult(const Sent &request, const http::Result &result) -> void;
    auto drawBelow(std::size_t end) -> std::size_t;

    task::EventLoop &loop_;
    CallersOptions options_;
    const Site &site_;
    Ledger &ledger_;
    http::Client client_;
    std::mt19937_64 random_;
    std::vector<std::size_t> entries_; ///< as the last answer told
    std::uint64_t lastId_ = 0;
    std::size_t open_ = 0;
    std::size_t servedInRow_ = 0;
    task::Watch sender_;
    task::Watch asker_;
};

} // namespace auburnspread::soak
