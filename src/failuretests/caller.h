/// \file
/// Calls of a test, on an event loop of its own, and waits for conditions with a bound instead of sleeps.

#pragma once

#include "load/answercheck.h"
#include "load/httpclient.h"
#include "runtime/task/eventloop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnspread::failuretests
{

/// Longer than any promise and any timeout of the system, so that only a hang exceeds it.
constexpr Duration LongWait = std::chrono::seconds(30);

/// A request of a caller, and what it has been told so far.
struct Call {
    load::HttpRequest request;
    load::HttpHead head;
    std::string body;
    std::optional<load::HttpEnd> end;
    std::optional<load::AnswerCheck> check; ///< of a streamed model answer
    load::HttpCallPointer handle;

    [[nodiscard]] auto ended() const -> bool
    {
        return end.has_value();
    }
    [[nodiscard]] auto tokens() const -> std::uint32_t
    {
        return check ? check->tokens() : 0;
    }
    [[nodiscard]] auto isWhole() const -> bool;
    [[nodiscard]] auto outcome() const -> std::string; ///< of a refusal, or of an error event
    [[nodiscard]] auto reason() const -> std::string;
    /// For failure messages.
    [[nodiscard]] auto describe() const -> std::string;
};

using CallPointer = std::shared_ptr<Call>;

class Caller
{
public:
    Caller();

    auto start(load::HttpRequest request) -> CallPointer;
    /// A streamed model call whose tokens are checked as they come.
    auto startChat(const std::string &address, const nlohmann::json &body, const load::Headers &headers) -> CallPointer;
    /// Starts a call and waits for its end.
    auto fetch(load::HttpRequest request) -> CallPointer;
    /// GET of a JSON document; null if there is none.
    auto fetchJson(const std::string &address, const std::string &path) -> nlohmann::json;

    /// Runs the loop until \p condition holds; false after \p longest.
    auto waitUntil(const std::function<bool()> &condition, Duration longest = LongWait) -> bool;

private:
    task::EventLoop loop_;
    load::HttpClient client_;
};

} // namespace auburnspread::failuretests
