/// \file
/// The event loop and the clients of one run of auburnspreadctl, with waiting for one answer at a time.

#pragma once

#include "apps/administration/configurationclient.h"
#include "apps/administration/entryclient.h"
#include "apps/ctl/commandline.h"

namespace auburnspread::ctl
{

class Session
{
public:
    explicit Session(const Invocation &invocation);

    auto readInForce() -> administration::InForceResult;
    auto submit(const configuration::SubmissionRequest &request) -> configuration::SubmissionFinished;
    auto callEntries(const administration::EntryCall &call) -> administration::EntryAnswers;
    auto collect() -> std::size_t;
    auto wait(Duration duration) -> void;

private:
    /// Runs the loop until \p start's callback was called.
    template <typename Result, typename Start>
    auto await(const Start &start) -> Result
    {
        auto answer = Result();
        start([this, &answer](const Result &result) {
            answer = result;
            loop_.stop();
        });
        loop_.run();
        return answer;
    }

    task::EventLoop loop_;
    platform::Store store_;
    administration::ConfigurationClient configuration_;
    administration::EntryClient entries_;
};

} // namespace auburnspread::ctl
