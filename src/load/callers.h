/// \file
/// The callers: each asks an entry which address to use, keeps that answer for its time, connects there, follows a
/// redirect to a peer, checks the whole answer, and repeats a bounded number of times if the scenario says so.

#pragma once

#include "load/arrivals.h"
#include "load/callbody.h"
#include "load/callrecord.h"
#include "load/httpclient.h"
#include "load/scenario.h"
#include "load/site.h"
#include "runtime/task/eventloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::load
{

struct CallersOptions {
    std::vector<std::string> direct; ///< send straight to these addresses in turn, without asking an entry
    ModelForm form = ModelForm::Plain;
};

class Callers
{
public:
    Callers(task::EventLoop &loop, const Scenario &scenario, const Site &site, CallersOptions options);
    ~Callers();
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    /// Makes every call of \p plan at its time; calls \p onAllEnded when the last one ended.
    auto start(const std::vector<PlannedCall> &plan, std::function<void()> onAllEnded) -> void;
    /// Closes what is still open: its callers give up.
    auto giveUpAll() -> void;

    [[nodiscard]] auto open() const -> std::size_t;
    /// Open calls whose first token arrived.
    [[nodiscard]] auto begun() const -> std::size_t;
    /// The ended calls, in the order of their numbers.
    [[nodiscard]] auto takeRecords() -> std::vector<CallRecord>;

private:
    struct OpenCall;
    using OpenCallPointer = std::shared_ptr<OpenCall>;

    struct KeptEntries {
        std::vector<std::string> addresses;
        TimePoint until;
    };

    auto begin(const PlannedCall &plan) -> void;
    auto startAttempt(const OpenCallPointer &call) -> void;
    auto askEntries(const OpenCallPointer &call) -> void;
    auto takeEntries(const OpenCallPointer &call, const std::string &body) -> void;
    auto connectNext(const OpenCallPointer &call) -> void;
    auto send(const OpenCallPointer &call, const std::string &address, const std::string &path) -> void;
    auto takeHead(OpenCall &call, const HttpHead &head) -> void;
    auto takeBody(OpenCall &call, std::string_view bytes) -> void;
    auto takeEnd(const OpenCallPointer &call, HttpEnd end) -> void;
    auto followRedirect(const OpenCallPointer &call) -> bool;
    auto endAttempt(const OpenCallPointer &call, CallResult result) -> void;
    auto endCall(const OpenCallPointer &call) -> void;
    auto giveUp(const OpenCallPointer &call) -> void;
    [[nodiscard]] auto elapsed(const OpenCall &call) const -> Duration;
    [[nodiscard]] auto cacheKey(const OpenCall &call) const -> std::string;

    task::EventLoop &loop_;
    const Scenario &scenario_;
    const Site &site_;
    CallersOptions options_;
    HttpClient client_;
    std::vector<std::string> seeds_;
    TimePoint began_;
    std::map<std::string, KeptEntries> kept_;
    std::map<std::uint32_t, OpenCallPointer> calls_;
    std::vector<task::Watch> starts_;
    std::vector<CallRecord> records_;
    std::size_t planned_ = 0;
    std::uint32_t nextDirect_ = 0;
    std::function<void()> onAllEnded_;
};

} // namespace auburnspread::load
