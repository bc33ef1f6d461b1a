/// \file
/// Asks all entries over their admin addresses, for operators' programs. Entries are found in the platform's service;
/// while it is out, in a list from the command line or the settings.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/http/client.h"
#include "wire/platform/store.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace auburnspread::administration
{

/// What one entry answered.
struct EntryAnswer {
    std::string entry; ///< name; the address if the name is not known
    std::string adminAddress;
    int status = 0;      ///< HTTP status; 0: no answer
    std::string error;   ///< if there is no answer, or a status of failure
    std::string text;    ///< the answer's body
    nlohmann::json body; ///< the same, read; null if it is not JSON

    [[nodiscard]] auto succeeded() const -> bool
    {
        return status >= 200 && status < 300;
    }
};

/// One call to make at every entry.
struct EntryCall {
    http::Method method = http::Method::Get;
    std::string path;
    std::string onlyEntry; ///< name; empty: all
};

struct EntryAnswers {
    std::vector<EntryAnswer> answers; ///< by entry
    std::string directoryError;       ///< the platform's list could not be read; the entries come from the fallback list
};

using OnEntryAnswers = std::function<void(const EntryAnswers &answers)>;

struct EntryClientOptions {
    std::vector<std::string> fallbackAddresses; ///< admin addresses to ask while the platform's service is out
    std::string token;                          ///< bearer token of the entries' admin side; empty: none
    Duration timeout = std::chrono::seconds(2);
};

class EntryClient
{
public:
    EntryClient(task::EventLoop &loop, platform::Store &store, EntryClientOptions options);
    EntryClient(const EntryClient &) = delete;
    auto operator=(const EntryClient &) -> EntryClient & = delete;

    auto call(const EntryCall &call, OnEntryAnswers onAnswers) -> void;

private:
    class Calling;

    platform::Store &store_;
    EntryClientOptions options_;
    http::Client client_;
};

/// The configuration's version on an entry, from its `/v1/status`; 0: none.
auto adoptedVersion(const EntryAnswer &status) -> std::uint64_t;

} // namespace auburnspread::administration
