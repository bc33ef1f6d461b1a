/// \file
/// Pauses between repeated calls: growing, bounded, and spread so that many clients do not return together.

#pragma once

#include "core/base/time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace auburnspread::platform
{

struct BackoffOptions {
    Duration least = std::chrono::milliseconds(100);
    Duration most = std::chrono::seconds(2);
    std::uint64_t seed = 1; ///< differs between processes
};

class Backoff
{
public:
    explicit Backoff(BackoffOptions options)
        : options_(options)
        , generator_(options.seed)
        , ceiling_(options.least)
    {
    }

    /// Between half of a ceiling and the whole of it; the ceiling doubles each time.
    auto next() -> Duration
    {
        const auto ceiling = ceiling_;
        ceiling_ = std::min(ceiling_ * 2, options_.most);
        std::uniform_int_distribution<Duration::rep> spread(ceiling.count() / 2, ceiling.count());
        return Duration(spread(generator_));
    }

    /// After a success.
    auto reset() -> void
    {
        ceiling_ = options_.least;
    }

private:
    BackoffOptions options_;
    std::mt19937_64 generator_;
    Duration ceiling_;
};

} // namespace auburnspread::platform
