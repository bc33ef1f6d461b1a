/// \file
/// Reports the usage of each window once, by the leader: `(state, event, now) -> actions`. Pure.
///
/// Failure: a leader reports a window and is lost before anybody knows; the next one has heard one entry more, and reports the same
/// window with other counts. So the counts of a window are fixed in the platform's store, by a write that names what it replaces, before
/// they are sent for the first time, and whoever sends them later sends what was fixed.

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
    Duration due = std::chrono::seconds(10); ///< after the end of a window; a later report counts for nothing
};

/// The counts that were fixed; the latest windows only.
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
    Record record;              ///< empty: there is none
    std::uint64_t revision = 0; ///< of its last write; 0: there is none
};
struct RecordWritten {
    std::uint64_t call = 0;
    std::uint64_t revision = 0;
};
/// The call did nothing, or may have done it or do it later.
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
    TrueTime time{};
    std::set<std::string> entries; ///< alive
};
using Event = std::variant<TermBegun, TermEnded, RecordRead, RecordWritten, RecordCallFailed, Sent, SendFailed, Tick>;
/// @}

/// \name Actions
/// @{
struct ReadRecord {
    std::uint64_t call = 0;
};
/// Writes the record if its last write is still the one of \p expectedRevision and this entry still leads.
struct WriteRecord {
    std::uint64_t call = 0;
    Record record;
    std::uint64_t expectedRevision = 0;
    std::uint64_t token = 0;
};
struct Send {
    Window window = 0;
    Counts counts;
    std::uint64_t token = 0;
};
/// A window is over for which no report can count any more.
struct LeftOut {
    Window first = 0;
    Window last = 0;
};
using Action = std::variant<ReadRecord, WriteRecord, Send, LeftOut>;
using Actions = std::vector<Action>;
/// @}

struct State {
    Options options;
    Ledger ledger;
    std::optional<std::uint64_t> token; ///< while this entry leads

    std::optional<Record> record; ///< not set: to be read
    std::uint64_t revision = 0;
    Record proposed;       ///< by the write that is under way
    PendingCall pending;   ///< for the record
    TimePoint askAt;       ///< not before
    std::set<Window> sent; ///< in this term, of those that stand in the record
    std::set<Window> sending;
    std::map<Window, TimePoint> sendAt; ///< not before
};

auto makeState(Options options) -> State;
auto step(State &state, const Event &event, TimePoint now) -> Actions;

} // namespace auburnspread::usage
