#include "gateway/tests/standinserver.h"

namespace auburnspread::gateway::tests
{

namespace standins = adapter::standins;

StandinServer::StandinServer(const std::string &id, const std::function<void(standins::ServerStandin &standin)> &configure, const std::string &streamPrefix)
    : standin_(loop_,
               {
                   .id = id,
                   .streamPrefix = streamPrefix,
                   .onExecuted = [this](const standins::Execution &) { executions_ += 1; },
                   .onRejected = [this](const standins::Rejection &) { rejections_ += 1; },
                   .onCrashed = [this]() { crashes_ += 1; },
               })
    , receiver_(loop_.receive(silences_, [this](bool isSilent) { standin_.setSilent(isSilent); }))
    , restarter_(loop_.receive(restarts_, [this](bool /*isWanted*/) { standin_.start(); }))
{
    configure(standin_);
    thread_ = std::thread([this]() { loop_.run(); });
}

StandinServer::~StandinServer()
{
    loop_.stop();
    thread_.join();
}

auto StandinServer::address() const -> const std::string &
{
    return standin_.address();
}

auto StandinServer::executions() const -> int
{
    return executions_;
}

auto StandinServer::rejections() const -> int
{
    return rejections_;
}

auto StandinServer::crashes() const -> int
{
    return crashes_;
}

auto StandinServer::goOn() -> void
{
    silences_.post(false);
}

auto StandinServer::restart() -> void
{
    restarts_.post(true);
}

} // namespace auburnspread::gateway::tests
