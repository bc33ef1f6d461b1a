/// \file
/// Attempts of the chat face that are given up while the kernel holds a part of their requests.

#include "entry/backend/tests/backendfixture.h"
#include "entry/backend/tests/stillserver.h"

#include <gtest/gtest.h>

#include <string>

using namespace auburnspread;
using namespace auburnspread::entry;

namespace
{

/// Sends a request to a server that stands still, and cancels it once a part has arrived. \return what the server receives of it
auto receivedOfCancelled(Payload payload) -> std::string
{
    Fixture fixture;
    StillServer server;
    routing::Dispatch dispatch{ .request = RequestId{ 1 }, .attempt = AttemptId{ 1 }, .address = server.address() };
    dispatch.firstTokenTimeout = NeverReached;
    dispatch.progressTimeout = NeverReached;
    fixture.mailboxes.backend.post(DispatchOrder{ .dispatch = dispatch, .payload = std::make_shared<const Payload>(std::move(payload)) });
    while (!server.hasReceived()) {
        std::this_thread::yield();
    }
    fixture.mailboxes.backend.post(routing::CancelAttempt{ .attempt = AttemptId{ 1 } });
    // a later request is sent after the cancellation
    fixture.order({ .attempt = AttemptId{ 2 } });
    const auto later = fixture.server.accept();
    later.readUntil("}");
    return server.readToEnd();
}

auto makeHeldChat() -> Payload
{
    auto payload = makeChatPayload();
    payload.chatBody["user"] = makeHeldBody();
    return payload;
}

auto makeHeldCall() -> Payload
{
    return { .kind = routing::CallKind::Service, .method = "POST", .pathAndQuery = "/notice", .idempotencyKey = "once", .body = makeHeldBody() };
}

} // namespace

/// Guards against an engine that generates an answer for a caller who left long ago.
TEST(GivenUpTests, aCancelledChatRequestThatTheKernelHoldsIsTakenBack)
{
    EXPECT_EQ(receivedOfCancelled(makeHeldChat()).find(EndOfRequest), std::string::npos);
}

/// Guards against a call that runs long after it was given up.
TEST(GivenUpTests, aCancelledCallThatTheKernelHoldsIsTakenBack)
{
    EXPECT_EQ(receivedOfCancelled(makeHeldCall()).find(EndOfRequest), std::string::npos);
}
