#include "runtime/task/eventloop.h"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace auburnspread;

TEST(EventLoopTests, messagesFromAnotherThreadArriveInOrder)
{
    constexpr int Count = 1000;
    task::EventLoop loop;
    task::Mailbox<int> mailbox;
    std::vector<int> got;
    const auto watch = loop.receive(mailbox, [&](int value) {
        got.push_back(value);
        if (value == Count - 1) {
            loop.stop();
        }
    });
    std::thread sender([&]() {
        for (int i = 0; i < Count; ++i) {
            mailbox.post(i);
        }
    });
    loop.run();
    sender.join();
    ASSERT_EQ(got.size(), static_cast<std::size_t>(Count));
    EXPECT_EQ(got.front(), 0);
    EXPECT_EQ(got.back(), Count - 1);
}

TEST(EventLoopTests, aTimerMayEndItself)
{
    task::EventLoop loop;
    task::Watch timer;
    int calls = 0;
    timer = loop.after(Duration(1), [&]() {
        ++calls;
        timer = task::Watch();
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(calls, 1);
}

/// Guards against a timer that ends early by what the loop is behind when it is set: the library counts from the beginning of the loop's turn,
/// and shows it when another event wakes the loop before. A lease lapsed while it was held.
TEST(EventLoopTests, aTimerCountsFromWhenItIsSet)
{
    constexpr auto Delay = std::chrono::milliseconds(20);
    task::EventLoop loop;
    const auto others = loop.every(std::chrono::milliseconds(1), []() {});
    task::Watch timer;
    TimePoint due;
    TimePoint calledAt;
    const auto busy = loop.inThisTurn([&]() {
        std::this_thread::sleep_for(2 * Delay);
        due = task::monotonicNow() + Delay;
        timer = loop.after(Delay, [&]() {
            calledAt = task::monotonicNow();
            loop.stop();
        });
    });
    loop.run();
    EXPECT_GE(calledAt, due);
}

/// Guards against a process that ends by SIGPIPE because a peer closed its connection at the moment of a write.
TEST(EventLoopTests, aWriteToAClosedConnectionFailsWithoutASignal)
{
    const task::EventLoop loop;
    std::array<int, 2> ends{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    ::close(ends[1]);
    const char byte = 'x';
    EXPECT_EQ(::write(ends[0], &byte, 1), -1);
    EXPECT_EQ(errno, EPIPE);
    ::close(ends[0]);
}

/// Guards against a connection that is given up and written to by an event that had already occurred.
TEST(EventLoopTests, anActionAfterAnEventIsCalledBeforeOtherEvents)
{
    task::EventLoop loop;
    std::vector<int> calls;
    std::vector<task::Watch> watches;
    watches.push_back(loop.inThisTurn([&]() {
        calls.push_back(1);
        watches.push_back(loop.afterThisEvent([&]() { calls.push_back(2); }));
    }));
    watches.push_back(loop.inThisTurn([&]() {
        calls.push_back(3);
        loop.stop();
    }));
    loop.run();
    EXPECT_EQ(calls, (std::vector<int>{ 1, 2, 3 }));
}
