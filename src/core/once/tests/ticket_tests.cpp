#include "core/once/claimtable.h"
#include "core/once/ticket.h"

#include <gtest/gtest.h>

#include <chrono>

using namespace auburnspread;
using namespace auburnspread::once;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };

auto makeOffice(std::uint64_t incarnation) -> TicketOffice
{
    return { .options = { .entry = "entry-1", .incarnation = incarnation, .capacity = 3 } };
}

} // namespace

// The platform's service is out. A caller obtained a ticket before and sends its dispatch of a technician with it. It
// runs once; the repeat is a duplicate; after a restart of the entry the ticket belongs to another process.
TEST(TicketTests, onlyTheProcessThatIssuedATicketRunsItAndOnlyOnce)
{
    auto office = makeOffice(7);
    const auto ticket = *issueTicket(office, "smetnja", Start);
    const auto sent = parseTicket(formatTicket(ticket));
    ASSERT_EQ(sent, ticket);
    EXPECT_EQ(useTicket(office, *sent, "other", Start), TicketVerdict::Invalid);
    EXPECT_EQ(useTicket(office, *sent, "smetnja", Start), TicketVerdict::Run);
    EXPECT_EQ(useTicket(office, *sent, "smetnja", Start), TicketVerdict::Used);
    auto restarted = makeOffice(8);
    EXPECT_EQ(useTicket(restarted, *sent, "smetnja", Start), TicketVerdict::OtherEntry);
}

// A ticket outlives what the entry remembers of it: whether it was used is not known any more, so it must not run.
TEST(TicketTests, anExpiredTicketNeverRuns)
{
    auto office = makeOffice(7);
    const auto ticket = *issueTicket(office, "smetnja", Start);
    EXPECT_EQ(useTicket(office, ticket, "smetnja", Start + std::chrono::hours(1)), TicketVerdict::Expired);
    EXPECT_EQ(useTicket(office, { .entry = "entry-1", .incarnation = 7, .serial = 99 }, "smetnja", Start), TicketVerdict::Invalid);
}

TEST(TicketTests, ticketsAreBoundedAndAReturnedOneMayBeUsedAgain)
{
    auto office = makeOffice(7);
    const auto ticket = *issueTicket(office, "w", Start);
    EXPECT_TRUE(issueTicket(office, "w", Start));
    EXPECT_TRUE(issueTicket(office, "w", Start));
    EXPECT_FALSE(issueTicket(office, "w", Start));
    EXPECT_TRUE(issueTicket(office, "w", Start + std::chrono::hours(1)));
    auto other = makeOffice(9);
    const auto returned = *issueTicket(other, "w", Start);
    EXPECT_EQ(useTicket(other, returned, "w", Start), TicketVerdict::Run);
    returnTicket(other, returned);
    returnTicket(other, ticket);
    EXPECT_EQ(useTicket(other, returned, "w", Start), TicketVerdict::Run);
}

TEST(TicketTests, ordinaryKeysAreNoTickets)
{
    for (const auto *key : { "", "deposit-17", "ticket:", "ticket:entry-1", "ticket:entry-1:7", "ticket:entry-1:7:", "ticket:entry-1:7:x", "ticket::7:1" }) {
        EXPECT_FALSE(parseTicket(key)) << key;
    }
}

// A repeat at the entry that ran the request gets the stored answer without a call, while it is kept; a body over the
// bound is not kept, and its repeat is a duplicate.
TEST(ClaimTableTests, repeatsAreAnsweredFromWhatIsKept)
{
    ClaimTable table{ .options = { .capacity = 2, .answerBytes = 10 } };
    const ClaimKey key = makeClaimKey("w", "k");
    EXPECT_TRUE(begin(table, key, Start));
    EXPECT_FALSE(begin(table, key, Start));
    EXPECT_EQ(lookup(table, key, Start).known, Known::InProgress);
    settle(table, key, StoredAnswer{ .status = 201, .contentType = "text/plain", .body = "sent" }, Start);
    EXPECT_EQ(lookup(table, key, Start).answer->status, 201);
    EXPECT_EQ(lookup(table, key, Start + std::chrono::hours(1)).known, Known::Nothing);
    const ClaimKey large = makeClaimKey("w", "large");
    begin(table, large, Start);
    settle(table, large, StoredAnswer{ .body = std::string(11, 'x') }, Start);
    EXPECT_EQ(lookup(table, large, Start).known, Known::Settled);
    EXPECT_EQ(lookup(table, large, Start).answer, nullptr);
    for (int number = 0; number < 10; ++number) {
        const ClaimKey other = makeClaimKey("w", std::to_string(number));
        begin(table, other, Start);
        settle(table, other, std::nullopt, Start);
    }
    EXPECT_EQ(table.rows.size(), 2U);
    const ClaimKey refused = makeClaimKey("w", "refused");
    begin(table, refused, Start);
    abandon(table, refused);
    EXPECT_TRUE(begin(table, refused, Start));
}
