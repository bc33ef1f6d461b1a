/// \file
/// A backend task in its own thread, for tests that play its router, its caller task and a backend server.

#pragma once

#include "entry/backend/backendtask.h"
#include "entry/backend/tests/tcpserver.h"

#include <chrono>
#include <deque>
#include <memory>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

namespace auburnspread::entry
{

constexpr int WaitMilliseconds = 30'000; // generous: only a hanging test meets it
constexpr Duration NeverReached = std::chrono::seconds(60);
constexpr std::size_t MostEventBytes = 4096;

inline auto makeChatPayload() -> Payload
{
    return { .chatBody = { { "model", "quote" }, { "messages", nlohmann::json::array() } }, .publicId = "public" };
}

struct Fixture {
    Mailboxes mailboxes;
    TcpServer server;
    BackendTask task{ { .attemptPrefix = "entry-1-7", .mostEventBytes = MostEventBytes, .connectTimeout = NeverReached, .idleAge = NeverReached }, mailboxes };
    std::thread thread{ [this]() { task.run(); } };
    std::deque<RouterMessage> toRouter;
    std::deque<CallerMessage> toCaller;

    ~Fixture()
    {
        task.stop();
        thread.join();
    }

    auto order(routing::Dispatch dispatch = {}, Payload payload = makeChatPayload()) -> void
    {
        dispatch.request = static_cast<RequestId>(dispatch.attempt == AttemptId{} ? 1 : static_cast<int>(dispatch.attempt));
        dispatch.attempt = static_cast<AttemptId>(dispatch.request);
        dispatch.address = server.address();
        dispatch.firstTokenTimeout = dispatch.firstTokenTimeout == Duration{} ? NeverReached : dispatch.firstTokenTimeout;
        dispatch.progressTimeout = dispatch.progressTimeout == Duration{} ? NeverReached : dispatch.progressTimeout;
        mailboxes.backend.post(DispatchOrder{ .dispatch = dispatch, .payload = std::make_shared<const Payload>(std::move(payload)) });
    }

    /// Orders an attempt and answers it with \p bytes.
    auto answer(std::string_view bytes, routing::Dispatch dispatch = {}) -> TcpConnection
    {
        order(std::move(dispatch));
        auto connection = server.accept();
        connection.readUntil("}");
        connection.send(bytes);
        return connection;
    }

    /// The failure of an attempt that is answered with \p bytes on a connection that stays open.
    auto failureOf(std::string_view bytes) -> Failure
    {
        const auto connection = answer(bytes);
        return nextFailure().failure;
    }

    auto commit() -> void
    {
        nextEvent<routing::AttemptStarted>();
        mailboxes.backend.post(routing::CommitAttempt{ .request = RequestId{ 1 }, .attempt = AttemptId{ 1 } });
    }

    auto block(bool blocked) -> void
    {
        mailboxes.backend.post(CallerBlocked{ .request = RequestId{ 1 }, .blocked = blocked });
    }

    template <typename Message>
    static auto next(task::Mailbox<Message> &mailbox, std::deque<Message> &taken) -> Message
    {
        if (taken.empty()) {
            pollfd watched{ .fd = mailbox.descriptor(), .events = POLLIN, .revents = 0 };
            ::poll(&watched, 1, WaitMilliseconds);
            taken = mailbox.takeAll();
        }
        if (taken.empty()) {
            throw std::runtime_error("no message came");
        }
        auto message = std::move(taken.front());
        taken.pop_front();
        return message;
    }

    template <typename Wanted>
    auto nextEvent() -> Wanted
    {
        return std::get<Wanted>(std::get<routing::Event>(next(mailboxes.router, toRouter)));
    }

    /// The next failure; a start before it is passed over.
    auto nextFailure() -> routing::AttemptFailed
    {
        const auto event = std::get<routing::Event>(next(mailboxes.router, toRouter));
        return std::holds_alternative<routing::AttemptStarted>(event) ? nextFailure() : std::get<routing::AttemptFailed>(event);
    }

    /// The next report of a silent attempt; a start before it is passed over.
    auto nextSilence() -> routing::AttemptSilent
    {
        const auto event = std::get<routing::Event>(next(mailboxes.router, toRouter));
        return std::holds_alternative<routing::AttemptStarted>(event) ? nextSilence() : std::get<routing::AttemptSilent>(event);
    }

    template <typename Wanted>
    auto nextToCaller() -> Wanted
    {
        return std::get<Wanted>(next(mailboxes.caller, toCaller));
    }

    auto callerGotNothing() -> bool
    {
        return toCaller.empty() && mailboxes.caller.takeAll().empty();
    }
};

} // namespace auburnspread::entry
