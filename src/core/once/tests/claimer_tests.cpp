#include "core/once/tests/claimstore.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

using namespace auburnspread;
using namespace auburnspread::once;
using namespace auburnspread::once::tests;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };
constexpr auto Later = std::chrono::milliseconds(200);

auto makeClaimer(std::string entry = "entry-1") -> Claimer
{
    return { .options = { .entry = std::move(entry), .incarnation = 7 } };
}

template <typename Kind>
auto findAction(const ClaimerActions &actions) -> std::optional<Kind>
{
    for (const auto &action : actions) {
        if (std::holds_alternative<Kind>(action)) {
            return std::get<Kind>(action);
        }
    }
    return std::nullopt;
}

auto resultOf(const ClaimerActions &actions) -> std::optional<ClaimDecision::Result>
{
    const auto decision = findAction<ClaimDecision>(actions);
    return decision ? std::optional(decision->result) : std::nullopt;
}

const ClaimKey deposit = makeClaimKey("karoo-roofing", "deposit-17");

} // namespace

TEST(ClaimerTests, theFirstToCreateTheKeyMayDispatchAndTheNextIsADuplicate)
{
    ClaimStore store;
    auto first = makeClaimer("entry-1");
    auto second = makeClaimer("entry-2");
    const auto create = *findAction<CreateCall>(submit(first, RequestId{ 1 }, deposit, Start));
    EXPECT_TRUE(applyCreate(store, create).empty());
    EXPECT_EQ(resultOf(noteCreated(first, create.call, CreateResult::Committed, {}, Start)), ClaimDecision::Result::Claimed);
    const auto again = *findAction<CreateCall>(submit(second, RequestId{ 1 }, deposit, Start));
    const auto conflicts = applyCreate(store, again);
    EXPECT_EQ(resultOf(noteCreated(second, again.call, CreateResult::Conflict, conflicts, Start)), ClaimDecision::Result::Duplicate);
    EXPECT_FALSE(isBusy(first) || isBusy(second));
}

// The write takes effect and its reply is lost. The caller must not be refused, and the request must not run on a
// guess: the key is read back and holds our nonce, so it is ours.
TEST(ClaimerTests, aLostReplyIsSettledByReadingBack)
{
    ClaimStore store;
    auto claimer = makeClaimer();
    const auto create = *findAction<CreateCall>(submit(claimer, RequestId{ 1 }, deposit, Start));
    applyCreate(store, create);
    EXPECT_FALSE(resultOf(noteCreated(claimer, create.call, CreateResult::Unknown, {}, Start)));
    const auto read = *findAction<ReadCall>(advance(claimer, Start + Later));
    EXPECT_EQ(resultOf(noteRead(claimer, read.call, applyRead(store, read), Start + Later)), ClaimDecision::Result::Claimed);
}

// The reply is lost and the key not there: the write may still be under way. A second create with the same nonce meets
// the first one, which took effect meanwhile; reading back shows that both are ours.
TEST(ClaimerTests, aWriteThatTakesEffectLateIsRecognized)
{
    ClaimStore store;
    auto claimer = makeClaimer();
    const auto create = *findAction<CreateCall>(submit(claimer, RequestId{ 1 }, deposit, Start));
    noteCreated(claimer, create.call, CreateResult::Unknown, {}, Start);
    const auto read = *findAction<ReadCall>(advance(claimer, Start + Later));
    const auto second = *findAction<CreateCall>(noteRead(claimer, read.call, applyRead(store, read), Start + Later));
    applyCreate(store, create);
    const auto conflicts = applyCreate(store, second);
    const auto readAgain = *findAction<ReadCall>(noteCreated(claimer, second.call, CreateResult::Conflict, conflicts, Start + Later));
    EXPECT_EQ(resultOf(noteRead(claimer, readAgain.call, applyRead(store, readAgain), Start + Later)), ClaimDecision::Result::Claimed);
}

// One of many claims in a transaction exists already, so the service refuses all of them. Only the repeat's caller
// hears "duplicate"; the others are claimed by the next transaction.
TEST(ClaimerTests, theConflictOfOneClaimDoesNotFailItsBatch)
{
    ClaimStore store;
    auto claimer = makeClaimer();
    store.keys[deposit.path] = { .text = "entry-9:1:1", .index = 1 };
    submit(claimer, RequestId{ 1 }, makeClaimKey("w", "first"), Start);
    submit(claimer, RequestId{ 2 }, makeClaimKey("w", "second"), Start);
    submit(claimer, RequestId{ 3 }, deposit, Start);
    const auto batch = *findAction<CreateCall>(advance(claimer, Start + Later));
    ASSERT_EQ(batch.operations.size(), 2U);
    const auto actions = noteCreated(claimer, batch.call, CreateResult::Conflict, applyCreate(store, batch), Start + Later);
    EXPECT_EQ(resultOf(actions), ClaimDecision::Result::Duplicate);
    const auto rest = *findAction<CreateCall>(advance(claimer, Start + Later + Later));
    ASSERT_EQ(rest.operations.size(), 1U);
    EXPECT_EQ(rest.operations[0].path, makeClaimKey("w", "second").path);
}

TEST(ClaimerTests, aConflictThatNamesNoOperationSplitsTheBatch)
{
    auto claimer = makeClaimer();
    submit(claimer, RequestId{ 1 }, makeClaimKey("w", "first"), Start);
    submit(claimer, RequestId{ 2 }, makeClaimKey("w", "second"), Start);
    submit(claimer, RequestId{ 3 }, makeClaimKey("w", "third"), Start);
    const auto batch = *findAction<CreateCall>(advance(claimer, Start + Later));
    ASSERT_EQ(batch.operations.size(), 2U);
    noteCreated(claimer, batch.call, CreateResult::Conflict, {}, Start + Later);
    const auto single = *findAction<CreateCall>(advance(claimer, Start + Later + Later));
    ASSERT_EQ(single.operations.size(), 1U);
    EXPECT_EQ(resultOf(noteCreated(claimer, single.call, CreateResult::Conflict, {}, Start + Later + Later)), ClaimDecision::Result::Duplicate);
}

// The service is out: the caller is told "not run" within the bound. The write took effect all the same; left there it
// would refuse the caller's repeat for good. It is found and deleted when the service is back.
TEST(ClaimerTests, aClaimThatWasGivenUpIsCleanedUp)
{
    ClaimStore store;
    auto claimer = makeClaimer();
    const auto create = *findAction<CreateCall>(submit(claimer, RequestId{ 1 }, deposit, Start));
    applyCreate(store, create);
    EXPECT_EQ(resultOf(advance(claimer, Start + std::chrono::seconds(3))), ClaimDecision::Result::Unavailable);
    const auto read = *findAction<ReadCall>(noteCreated(claimer, create.call, CreateResult::Unknown, {}, Start + std::chrono::seconds(4)).empty()
                                                ? advance(claimer, Start + std::chrono::seconds(5))
                                                : ClaimerActions{});
    const auto remove = *findAction<DeleteCall>(noteRead(claimer, read.call, applyRead(store, read), Start + std::chrono::seconds(5)));
    applyDelete(store, remove);
    noteDeleted(claimer, remove.call, true, Start + std::chrono::seconds(5));
    EXPECT_TRUE(store.keys.empty());
    EXPECT_FALSE(isBusy(claimer));
}

// A claimed request is refused before it was dispatched. Its claim is given back, and the caller's repeat may run.
TEST(ClaimerTests, aReleasedClaimCanBeClaimedAgain)
{
    ClaimStore store;
    auto claimer = makeClaimer();
    const auto create = *findAction<CreateCall>(submit(claimer, RequestId{ 1 }, deposit, Start));
    applyCreate(store, create);
    noteCreated(claimer, create.call, CreateResult::Committed, {}, Start);
    const auto read = *findAction<ReadCall>(release(claimer, deposit, Start));
    const auto remove = *findAction<DeleteCall>(noteRead(claimer, read.call, applyRead(store, read), Start));
    applyDelete(store, remove);
    noteDeleted(claimer, remove.call, true, Start);
    const auto again = *findAction<CreateCall>(submit(claimer, RequestId{ 2 }, deposit, Start + Later));
    EXPECT_TRUE(applyCreate(store, again).empty());
    EXPECT_EQ(resultOf(noteCreated(claimer, again.call, CreateResult::Committed, {}, Start + Later)), ClaimDecision::Result::Claimed);
}

TEST(ClaimerTests, keysOfWorkspacesNeverMeet)
{
    EXPECT_TRUE(makeClaimKey("karoo", "k").path.starts_with("auburnspread/claims/karoo/"));
    EXPECT_NE(makeClaimKey("a/b", "k"), makeClaimKey("a", "b/k"));
    EXPECT_TRUE(makeClaimKey("a/b", "k").path.starts_with("auburnspread/claims/a%2fb/"));
    EXPECT_NE(makeClaimKey("a", "k"), makeClaimKey("a", "l"));
}
