#include "apps/ctl/session.h"

namespace auburnspread::ctl
{

Session::Session(const Invocation &invocation)
    : store_(loop_, { .address = invocation.platformAddress })
    , configuration_(loop_, store_)
    , entries_(loop_, store_, { .fallbackAddresses = invocation.entryAddresses, .token = invocation.token })
{
}

auto Session::readInForce() -> administration::InForceResult
{
    return await<administration::InForceResult>([this](const auto &onDone) { configuration_.readInForce(onDone); });
}

auto Session::submit(const configuration::SubmissionRequest &request) -> configuration::SubmissionFinished
{
    return await<configuration::SubmissionFinished>([this, &request](const auto &onDone) { configuration_.submit(request, onDone); });
}

auto Session::callEntries(const administration::EntryCall &call) -> administration::EntryAnswers
{
    return await<administration::EntryAnswers>([this, &call](const auto &onDone) { entries_.call(call, onDone); });
}

auto Session::collect() -> std::size_t
{
    return await<std::size_t>([this](const auto &onDone) { configuration_.collect(onDone); });
}

auto Session::wait(Duration duration) -> void
{
    const auto timer = loop_.after(duration, [this] { loop_.stop(); });
    loop_.run();
}

} // namespace auburnspread::ctl
