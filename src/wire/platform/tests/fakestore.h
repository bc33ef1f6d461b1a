/// \file
/// A key-value service in the test's own process, with the faults that the tests provoke.

#pragma once

#include "wire/http/server.h"
#include "wire/platform/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::platform::tests
{

enum class Fault {
    None,
    LoseReply,   ///< the call takes effect, then the connection ends without an answer
    LoseRequest, ///< the connection ends and nothing takes effect
    Limit,       ///< 429
    Late,        ///< the connection ends, and the write takes effect just before the next one
    Silence,     ///< the call takes effect and is answered only by answerSilenced()
};

class FakeStore
{
public:
    explicit FakeStore(task::EventLoop &loop);

    /// The next \p times writes and session calls meet \p fault.
    auto strike(Fault fault, int times = 1) -> void;
    /// The same for reads.
    auto strikeReads(Fault fault, int times = 1) -> void;

    /// As another client of the service.
    auto set(const std::string &key, const std::string &value, const std::string &session = "") -> void;
    auto expireSessions() -> void;
    auto answerSilenced() -> void;

    [[nodiscard]] auto address() const -> const std::string &;
    [[nodiscard]] auto find(const std::string &key) const -> const Entry *;
    [[nodiscard]] auto writes() const -> int;
    [[nodiscard]] auto reads() const -> int;
    [[nodiscard]] auto waitingCalls() const -> std::size_t;
    [[nodiscard]] auto silencedCalls() const -> std::size_t;

private:
    struct WaitingCall {
        std::string key;
        bool isPrefix;
        http::Replier replier;
        task::Watch limit;
    };

    struct Strike {
        Fault fault = Fault::None;
        int times = 0;

        auto take() -> Fault;
    };

    auto serveKeys(const http::IncomingRequest &request, const http::Replier &replier) -> void;
    auto serveTransaction(const http::IncomingRequest &request, const http::Replier &replier) -> void;
    auto serveSession(const http::IncomingRequest &request, const http::Replier &replier) -> void;
    auto read(const http::IncomingRequest &request, const http::Replier &replier) -> void;
    auto put(const http::IncomingRequest &request) -> bool;
    auto answerRead(const std::string &key, bool isPrefix, const http::Replier &replier) -> void;
    auto answerWaiting(const std::string &changed) -> void;

    task::EventLoop &loop_;
    http::Server server_;
    std::string address_;
    std::map<std::string, Entry> entries_;
    std::set<std::string> sessions_;
    std::uint64_t index_ = 1;
    Strike writeStrike_;
    Strike readStrike_;
    int writes_ = 0;
    int reads_ = 0;
    std::vector<WaitingCall> waiting_;
    std::vector<std::function<void()>> silenced_;
    std::optional<http::IncomingRequest> late_;
};

} // namespace auburnspread::platform::tests
