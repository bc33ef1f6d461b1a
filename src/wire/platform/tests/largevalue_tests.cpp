// An operator's configuration with many routes never reached the pass-through entries: their reads of the store had to be whole within
// a bound, and over a narrow link the answer took longer. What had come was thrown away and the next read began anew. The client of this
// store bounded a read in the same way, by 3 s: at 2 Mbit/s, 1 MB takes 4 s. The bound of the pass-through entries showed as
//
//     dependency-lost, read-configuration: receive 10.200.1.7:8064: timeout

#include "standins/testing/narrowlink.h"
#include "wire/http/tests/exchange.h"
#include "wire/platform/store.h"
#include "wire/platform/tests/fakestore.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

using namespace auburnspread;
using http::tests::runUntil;

namespace
{

constexpr auto Key = "auburnspread/configuration/part";
/// The largest value of the store, as base64, takes over 4 s: eighty pauses of 50 ms.
constexpr std::size_t LargestValue = 1024UL * 1024;
constexpr std::size_t PassedAtOnce = LargestValue / 60;
constexpr Duration Pause = std::chrono::milliseconds(50);
constexpr Duration Bound = std::chrono::seconds(30);

} // namespace

TEST(LargeValueTests, aReadMayTakeLongAsLongAsItsBytesCome)
{
    task::EventLoop loop;
    platform::tests::FakeStore service(loop);
    const std::string value(LargestValue, 'a');
    service.set(Key, value);
    const standins::NarrowLink link(loop, service.address(), { .bytes = PassedAtOnce, .pause = Pause });
    platform::Store store(loop, { .address = link.address() });

    std::optional<platform::ReadResult> result;
    store.get(Key, [&](platform::ReadResult read) { result = std::move(read); });
    ASSERT_TRUE(runUntil(
        loop, [&]() { return result.has_value(); }, Bound));
    const auto *snapshot = std::get_if<platform::Snapshot>(&*result);
    ASSERT_NE(snapshot, nullptr) << link.passed() << " bytes passed, " << link.cutOff() << " answers cut off";
    ASSERT_EQ(snapshot->entries.size(), 1U);
    EXPECT_TRUE(snapshot->entries.front().value == value);
}
