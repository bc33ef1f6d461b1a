/// \file
/// Asks engines which parts of prompts they hold, once after this entry has started.
///
/// Failure: all entries restart together and know nothing of the engines' caches. Symptom: every session is read anew, all at
/// once, by engines that another one could spare it. Each engine is asked by a few entries, which tell the others.

#pragma once

#include "core/passthrough/configuration.h"
#include "core/passthrough/events.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

struct CacheReaderCallbacks {
    std::function<void(const passthrough::CacheListed &listed)> onListed;
    std::function<void(std::string_view server, const std::string &detail)> onFailed;
};

class CacheReader
{
public:
    CacheReader(task::EventLoop &loop, CacheReaderCallbacks callbacks);

    /// Asks the engines among \p servers that fall to \p self among \p entries. The first call counts.
    auto readOnce(const std::vector<passthrough::Server> &servers, const std::vector<std::string> &entries, const std::string &self) -> void;

    [[nodiscard]] auto hasRead() const -> bool;

private:
    auto ask(const passthrough::Server &server) -> void;

    http::Client client_;
    CacheReaderCallbacks callbacks_;
    bool hasRead_ = false;
};

} // namespace auburnspread::gateway
