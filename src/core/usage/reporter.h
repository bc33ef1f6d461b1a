/// \file
/// State machine by which the leader reports the usage of each window exactly once: `(state, event, now) -> actions`. Pure: no I/O, no clock.
///
/// Failure: a leader sends the counts of a window and crashes before any other entry knows. The next leader has received the reports of one
/// more entry and sends other counts for the same window. Therefore the counts of a window are fixed in the platform's store by a
/// compare-and-swap write before they are sent for the first time, and every later leader sends the fixed counts.
///
/// Failure: the store comes back from a copy that lacks the latest record, whose counts were sent already. A leader that has no memory of them
/// would fix others. It therefore skips the windows that ended before it read such a record; one that has fixed them writes them again.

#pragma once

#include "core/base/pendingcall.h"
#include "core/base/time.h"
#include "core/usage/tally.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::usage
{

struct Options {
    Duration windowLength = std::chrono::seconds(5);
    Duration reportDeadline = std::chrono::seconds(10); ///< after the end of a window; the platform ignores later reports
};

/// The fixed counts of the latest windows, as stored in the platform's store.
using Record = std::map<Window, Counts>;

/// \name Events
/// @{
struct TermBegun {
    std::uint64_t token = 0;
};
struct TermEnded {
};
struct RecordRead {
    std::uint64_t call = 0;
    Record record;                ///< empty if the store contains no record
    std::uint64_t revision = 0;   ///< revision of the last write of the record; 0 if the store contains no record
    bool mayBeIncomplete = false; ///< the store has come back from a copy since the record was written, so later windows may have been reported
    UnixTime time{};              ///< when it was read
};
struct RecordWritten {
    std::uint64_t call = 0;
    std::uint64_t revision = 0;
};
/// The call was not executed, or its result is unknown: the store may have executed it or may still execute it.
struct RecordCallFailed {
    std::uint64_t call = 0;
};
struct Sent {
    Window window = 0;
};
struct SendFailed {
    Window window = 0;
};
struct Tick {
    UnixTime time{};
    std::set<std::string> entries; ///< names of the live entries
};
using Event = std::variant<TermBegun, TermEnded, RecordRead, RecordWritten, RecordCallFailed, Sent, SendFailed, Tick>;
/// @}

/// \name Actions
/// @{
struct ReadRecord {
    std::uint64_t call = 0;
};
/// Writes the record if its revision is still \p expectedRevision and this entry is still the leader.
struct WriteRecord {
    std::uint64_t call = 0;
    Record record;
    std::uint64_t expectedRevision = 0;
    std::uint64_t token = 0;
};
/// Sends the fixed counts of a window to the platform.
struct Send {
    Window window = 0;
    Counts counts;
    std::uint64_t token = 0;
};
/// The windows from \p first to \p last were not fixed and are never reported, since a later window is being fixed.
struct SkippedWindows {
    Window first = 0;
    Window last = 0;
};
using Action = std::variant<ReadRecord, WriteRecord, Send, SkippedWindows>;
using Actions = std::vector<Action>;
/// @}

struct State {
    Options options;
    Ledger ledger;
    std::optional<std::uint64_t> token; ///< fencing token of the term; not set while this entry is not the leader

    std::optional<Record> record; ///< not set if the record has to be read
    std::uint64_t revision = 0;
    Record remembered;                         ///< windows that this entry has fixed, also in earlier terms
    Window firstFixable = 0;                   ///< earlier windows may have been reported by an entry whose record is lost
    Record proposed;                           ///< content of the write in progress
    PendingCall pending;                       ///< call for the record
    TimePoint readNotBefore;                   ///< earliest time of the next read of the record
    std::set<Window> sent;                     ///< windows of the record that were sent in this term
    std::set<Window> sending;                  ///< windows whose send is in progress
    std::map<Window, TimePoint> sendNotBefore; ///< earliest time of the next send of a window
};

auto makeState(Options options) -> State;
auto step(State &state, const Event &event, TimePoint now) -> Actions;

} // namespace auburnspread::usage
