/// \file
/// A loopback relay that carries answers as a narrow link does: less of them than a large answer has.

#pragma once

#include "core/base/time.h"
#include "runtime/task/eventloop.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace auburnspread::standins
{

struct LinkOptions {
    std::size_t bytes = 0;         ///< of one answer that pass
    std::optional<Duration> pause; ///< after which as many pass again; not set: the rest of the answer never comes
};

class NarrowLink
{
public:
    /// Passes connections on to \p target.
    NarrowLink(task::EventLoop &loop, const std::string &target, LinkOptions options);
    ~NarrowLink();
    NarrowLink(const NarrowLink &) = delete;
    auto operator=(const NarrowLink &) -> NarrowLink & = delete;

    [[nodiscard]] auto address() const -> const std::string &;
    /// Answers whose asker left before their last byte.
    [[nodiscard]] auto cutOff() const -> std::size_t;
    /// Bytes of answers that passed.
    [[nodiscard]] auto passed() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::standins
