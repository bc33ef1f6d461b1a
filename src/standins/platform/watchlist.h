/// \file
/// Blocking queries that wait for a change.

#pragma once

#include "standins/httpserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace auburnspread::standins
{

/// What a blocking query waits for.
struct WatchedKey {
    std::string key;
    bool isPrefix = false;
    std::uint64_t index = 0; ///< a change with a higher index answers the query
};

class WatchList
{
public:
    explicit WatchList(task::EventLoop &loop);

    /// Calls \p answer once: when the key changes, or after \p wait. Not at all if the caller goes first.
    auto add(const ExchangePointer &exchange, WatchedKey watched, Duration wait, std::function<void()> answer) -> void;

    /// Answers whoever waits for \p key, which has changed at \p index.
    auto wake(std::string_view key, std::uint64_t index) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct Waiting {
        WatchedKey watched;
        std::function<void()> answer;
        task::Watch timer;
    };

    task::EventLoop &loop_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;

    auto answer(std::uint64_t id) -> void;
};

} // namespace auburnspread::standins
