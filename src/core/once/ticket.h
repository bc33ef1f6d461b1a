/// \file
/// Tickets: the way to send a non-repeatable request while the platform's service is out.
///
/// A caller obtains a ticket from an entry beforehand and sends it as the request's idempotency key. The ticket names
/// the entry process that issued it, and only that very process ever runs it, so no shared state is needed to run it
/// at most once. A ticket of another process, also of this entry's past, is never run here; but whether that process
/// ran it is not known here, so the caller must not be told that it was not run.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnspread::once
{

/// Published form: `ticket:<entry>:<incarnation>:<serial>`.
struct Ticket {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;

    auto operator==(const Ticket &) const -> bool = default;
};

auto formatTicket(const Ticket &ticket) -> std::string;
/// Nothing: the key is not a ticket but an ordinary idempotency key.
auto parseTicket(std::string_view key) -> std::optional<Ticket>;

struct TicketOptions {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::size_t capacity = 65536; ///< issued and not yet expired
    Duration validity = std::chrono::minutes(15);
};

struct TicketOffice {
    struct Issued {
        std::string workspace;
        TimePoint until{};
        bool used = false;
    };
    TicketOptions options;
    std::uint64_t nextSerial = 1;
    std::unordered_map<std::uint64_t, Issued> issued;
    std::deque<std::uint64_t> order; ///< serials, oldest first
};

enum class TicketVerdict {
    Run,        ///< first use: the request may run, once
    Used,       ///< it was used before: a duplicate
    OtherEntry, ///< issued by another process, which may have run it: answer as a duplicate (may-have-run)
    Expired,    ///< too old to know whether it was used: answer as a duplicate
    Invalid,    ///< never issued, or to another workspace: not run
};

/// Nothing while too many tickets are outstanding.
auto issueTicket(TicketOffice &office, std::string_view workspace, TimePoint now) -> std::optional<Ticket>;

/// Uses the ticket up if the verdict is Run.
auto useTicket(TicketOffice &office, const Ticket &ticket, std::string_view workspace, TimePoint now) -> TicketVerdict;

/// The request with this ticket was provably not run: the ticket may be used again.
auto returnTicket(TicketOffice &office, const Ticket &ticket) -> void;

} // namespace auburnspread::once
