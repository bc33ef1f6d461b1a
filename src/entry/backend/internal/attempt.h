/// \file
/// One attempt on a backend server, as plain data, and what may be done with it.

#pragma once

#include "core/relay/relaystream.h"
#include "entry/backend/backendtask.h"
#include "entry/backend/internal/connectionpool.h"
#include "entry/messages/messages.h"
#include "wire/chat/eventreader.h"
#include "wire/http/message.h"
#include "wire/http/responseguard.h"
#include "wire/text/eventscanner.h"

#include <event2/buffer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct evhttp_request;

namespace auburnspread::entry
{

/// What the attempt's functions need of their task.
struct AttemptContext {
    Mailboxes &mailboxes;
    std::size_t mostEventBytes;
    const std::function<void(const AttemptReport &report)> &failed;
    /// Called once when the attempt is over; the connection may be kept if \c reusable.
    std::function<void(AttemptId attempt, bool reusable)> ended;
};

/// What the attempts of one request share.
struct RequestRelay {
    std::vector<AttemptId> attempts; ///< live ones
    std::uint32_t relayed = 0;       ///< tokens that the caller has got, from any of them
    bool answered = false;           ///< the caller has got the whole answer
};

struct Attempt {
    Attempt(routing::Dispatch order, PayloadPointer bytes, std::string wireId, std::shared_ptr<RequestRelay> sharedRelay, AttemptContext &owner);

    routing::Dispatch dispatch;
    PayloadPointer payload;
    std::shared_ptr<RequestRelay> shared;
    AttemptContext &context;
    relay::RelayStream stream;
    chat::EventReader reader;
    PooledConnection pooled;
    evhttp_request *request = nullptr; ///< owned by the library while under way
    evbuffer_cb_entry *outputWatch = nullptr;
    evbuffer_cb_entry *inputWatch = nullptr;
    http::ResponseGuard guard; ///< over the answer
    bool sent = false;         ///< a byte of the request may have left
    bool started = false;      ///< AttemptStarted was reported
    bool committed = false;    ///< may relay
    bool complete = false;     ///< the answer is whole: its last chunk, or the end of a service's answer, was seen
    bool broken = false;       ///< the connection failed after the answer was whole, and must not be used again
    bool over = false;         ///< finished, failed or cancelled: later callbacks change nothing
    bool blocked = false;      ///< the caller reads too slowly
    bool silent = false;       ///< AttemptSilent was reported, and nothing has come since
    int status = 0;
    bool mustEndWithEvent = false; ///< only the last event shows that the answer is whole: its end is the end of the connection
    text::EventScanner events;     ///< of such an answer
    TimePoint connectDeadline;     ///< by then the connection stands
    TimePoint deadline;            ///< by then the first or the next token arrives
    TimePoint lastReport;
    std::uint32_t relayFrom = 0;     ///< once committed: tokens before this one were relayed by another attempt
    std::vector<CallerMessage> held; ///< relayed at commit
};

/// Reports a failure, once.
///
/// Failure: the connection breaks or goes silent between the last chunk and the end of the stream. Symptom: a retry
/// sends the last chunk a second time, or the caller waits for ever. Nothing of the answer is missing any more, so
/// a whole answer is finished instead.
auto fail(Attempt &attempt, Failure failure) -> void;
/// Reports the end of a whole answer, once.
auto finish(Attempt &attempt) -> void;
/// Relays to the caller, or holds until the attempt is committed.
auto relayPart(Attempt &attempt, CallerMessage message) -> void;
/// Reports the first token or the response headers, once.
auto reportStarted(Attempt &attempt) -> void;
/// Reports progress, at intervals.
auto reportProgress(Attempt &attempt) -> void;
/// Relays what was held, without the tokens that another attempt has relayed. \p relayedTokens: of the request, as the router knows.
///
/// Failure: a silent attempt goes on while another one starts. Symptom: the caller gets the same tokens from both. The tokens of the
/// request have one numbering, and each is relayed once. If the other attempt has ended the whole answer, this one ends with it.
auto commit(Attempt &attempt, std::uint32_t relayedTokens) -> void;
/// Reports that nothing has come since the deadline, which is set to the next report.
auto reportSilence(Attempt &attempt, TimePoint now) -> void;
/// Takes note that something arrived. Reports at once that a silent attempt goes on.
auto noteArrival(Attempt &attempt) -> void;
auto extendDeadline(Attempt &attempt) -> void;
/// The timeout that the attempt meets if nothing comes.
auto timeoutOf(const Attempt &attempt) -> Failure;
/// Of the whole request so far.
auto relayedTokensOf(const Attempt &attempt) -> std::uint32_t;

/// Answer of an engine.
auto receiveChatBytes(Attempt &attempt, std::string_view bytes) -> void;
auto endChatAnswer(Attempt &attempt) -> void;

/// Answer of a plain service.
auto receiveServiceHeaders(Attempt &attempt, const http::Headers &headers) -> void;
auto receiveServiceBytes(Attempt &attempt, std::string_view bytes) -> void;
auto endServiceAnswer(Attempt &attempt) -> void;

} // namespace auburnspread::entry
