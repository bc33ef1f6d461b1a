#include "wire/platform/settledwrite.h"

#include <utility>

namespace auburnspread::platform
{

namespace
{

auto isOurs(const Put &put, const Entry &entry) -> bool
{
    return put.acquire.empty() ? entry.value == put.value : entry.session == put.acquire;
}

/// Whether the key still stands as the write expects it, so that the write may be repeated.
auto isAsExpected(const Put &put, const std::optional<Entry> &entry) -> bool
{
    if (!put.acquire.empty()) {
        return !entry || entry->session.empty();
    }
    return (entry ? entry->modifyIndex : 0) == put.index;
}

} // namespace

Settler::Settler(task::EventLoop &loop, Store &store, SettlerOptions options)
    : loop_(loop)
    , store_(store)
    , options_(options)
{
}

Settler::~Settler()
{
    for (const auto &[id, work] : works_) {
        if (work.call) {
            store_.cancel(*work.call);
        }
    }
}

auto Settler::write(const std::string &key, const std::string &value, std::uint64_t index, OnSettled onSettled) -> void
{
    start({ .key = key, .value = value, .index = index }, std::move(onSettled));
}

auto Settler::acquire(const std::string &key, const std::string &value, const std::string &session, OnSettled onSettled) -> void
{
    start({ .key = key, .value = value, .acquire = session }, std::move(onSettled));
}

auto Settler::start(Put put, OnSettled onSettled) -> void
{
    const auto id = ++lastId_;
    auto backoff = options_.backoff;
    backoff.seed += id;
    works_.emplace(
        id, Work{ .put = std::move(put), .onSettled = std::move(onSettled), .deadline = task::monotonicNow() + options_.limit, .backoff = Backoff(backoff) });
    writeOnce(id);
}

auto Settler::writeOnce(Id id) -> void
{
    auto &work = works_.at(id);
    work.call = store_.put(work.put, [this, id](const WriteResult &result) { takeWritten(id, result); });
}

// After a lost reply a conflict may be with our own earlier write, so only reading back tells.
auto Settler::takeWritten(Id id, const WriteResult &result) -> void
{
    auto &work = works_.at(id);
    work.call.reset();
    work.failure = result.failure;
    const auto wantsFence = !work.put.acquire.empty();
    switch (result.verdict) {
    case Verdict::Applied:
        wantsFence ? readBack(id) : finish(id, Verdict::Applied);
        return;
    case Verdict::Conflict:
        work.mayHaveApplied ? readBack(id) : finish(id, Verdict::Conflict);
        return;
    case Verdict::Unknown:
        work.mayHaveApplied = true;
        repeat(id, &Settler::readBack);
        return;
    case Verdict::Unavailable:
        repeat(id, &Settler::writeOnce);
        return;
    case Verdict::Rejected:
        finish(id, Verdict::Rejected);
        return;
    }
}

auto Settler::readBack(Id id) -> void
{
    auto &work = works_.at(id);
    work.call = store_.get(work.put.key, [this, id](const ReadResult &result) { takeRead(id, result); });
}

auto Settler::takeRead(Id id, const ReadResult &result) -> void
{
    auto &work = works_.at(id);
    work.call.reset();
    if (const auto *failure = std::get_if<Failure>(&result)) {
        work.mayHaveApplied = true; // an acquisition whose fencing number cannot be read is not settled either
        work.failure = *failure;
        repeat(id, &Settler::readBack);
        return;
    }
    takeState(id, std::get<Snapshot>(result));
}

// A lost write may still be under way. Writing again is harmless, because at most one of the two finds the expected state.
auto Settler::takeState(Id id, const Snapshot &snapshot) -> void
{
    auto &work = works_.at(id);
    work.entry = snapshot.entries.empty() ? std::nullopt : std::optional(snapshot.entries.front());
    if (work.entry && isOurs(work.put, *work.entry)) {
        finish(id, Verdict::Applied);
        return;
    }
    if (isAsExpected(work.put, work.entry)) {
        repeat(id, &Settler::writeOnce);
        return;
    }
    finish(id, Verdict::Conflict);
}

auto Settler::repeat(Id id, void (Settler::*step)(Id)) -> void
{
    auto &work = works_.at(id);
    const auto pause = work.backoff.next();
    if (task::monotonicNow() + pause >= work.deadline) {
        finish(id, work.mayHaveApplied ? Verdict::Unknown : Verdict::Unavailable);
        return;
    }
    work.pause = loop_.after(pause, [this, id, step]() { (this->*step)(id); });
}

auto Settler::finish(Id id, Verdict verdict) -> void
{
    const auto node = works_.extract(id);
    const auto &work = node.mapped();
    work.onSettled({ .verdict = verdict, .entry = work.entry, .failure = work.failure });
}

} // namespace auburnspread::platform
