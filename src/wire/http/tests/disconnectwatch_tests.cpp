#include "wire/http/disconnectwatch.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace auburnspread;

namespace
{

constexpr std::size_t Connections = 400;
constexpr std::size_t SmallPart = Connections / 10;

class Pair
{
public:
    Pair()
    {
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends_.data()), 0);
    }
    ~Pair()
    {
        ::close(ends_[0]);
        closePeer();
    }
    Pair(const Pair &) = delete;
    auto operator=(const Pair &) -> Pair & = delete;

    [[nodiscard]] auto descriptor() const -> int
    {
        return ends_[0];
    }
    auto sendFromPeer() const -> void
    {
        EXPECT_EQ(::write(ends_[1], "x", 1), 1);
    }
    auto readByte() const -> void
    {
        char byte = 0;
        EXPECT_EQ(::read(ends_[0], &byte, 1), 1);
    }
    auto closePeer() -> void
    {
        if (ends_[1] >= 0) {
            ::close(std::exchange(ends_[1], -1));
        }
    }

private:
    std::array<int, 2> ends_{};
};

} // namespace

/// Guards against servers that go on working for a caller who has left, for as long as the entry is busy with requests that arrived before
/// the close.
TEST(DisconnectWatchTests, aCloseIsNoticedBeforeABacklogOfOtherEventsIsHandled)
{
    task::EventLoop loop;
    std::vector<Pair> others(Connections);
    Pair caller;
    std::size_t handled = 0;
    std::size_t rounds = 0;
    std::optional<std::size_t> handledAtNotice;
    const http::DisconnectWatch watch(loop, caller.descriptor(), [&]() { handledAtNotice = handled; });
    std::vector<task::Watch> watches;
    watches.reserve(Connections);
    const auto beginRound = [&]() {
        handled = 0;
        for (const auto &each : others) {
            each.sendFromPeer();
        }
    };
    constexpr std::size_t Rounds = 8; // in the first ones, the library asks the kernel for a few events at a time
    for (const auto &each : others) {
        watches.push_back(loop.whenReadable(each.descriptor(), [&]() {
            each.readByte();
            handled += 1;
            if (rounds == Rounds && handled == 1) {
                caller.closePeer();
            }
            if (handled == Connections && rounds++ == Rounds) {
                loop.stop();
            } else if (handled == Connections) {
                beginRound();
            }
        }));
    }
    beginRound();
    loop.run();
    ASSERT_TRUE(handledAtNotice);
    EXPECT_LT(*handledAtNotice, SmallPart);
}
