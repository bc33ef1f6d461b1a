/// \file
/// The site of the entries' failure tests: engines that serve one model, one plain service, one workspace.

#pragma once

#include "failuretests/site.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::failuretests
{

struct SmallSiteOptions {
    int engines = 3;
    int entries = 1;
    bool service = false;
    int tokenMilliseconds = 20;
    std::uint32_t concurrency = 16;    ///< of an engine
    std::uint32_t queueLength = 2'000; ///< of an entry
};

class SmallSite : public Site
{
public:
    /// Starts everything and waits until the entries are ready. \throws std::runtime_error if they are not
    explicit SmallSite(const SmallSiteOptions &options);

    auto engine(int number) -> StandIn &;
    auto service() -> StandIn &;
    auto entry(int number) -> Entry &;

    /// A streamed answer of \p tokens tokens to a question that no other call of the test asks.
    auto startQuote(const Entry &entry, int tokens, const std::string &text = "roof") -> CallPointer;
    auto startQuotes(const Entry &entry, std::size_t count, int tokens) -> std::vector<CallPointer>;
    /// A call that may not be repeated.
    auto startDispatch(const Entry &entry, const std::string &key) -> CallPointer;
    /// The answer that startQuote() waits for.
    static auto answerOf(const Call &call) -> standins::Answer;

    /// Number of the engine that runs \p call now; 0 if none.
    auto engineRunning(const Call &call) -> int;

private:
    auto isReady(const Entry &entry) -> bool;
    auto makeDocument() const -> configuration::Document;

    SmallSiteOptions options_;
    int question_ = 0;
};

} // namespace auburnspread::failuretests
