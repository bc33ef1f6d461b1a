#include "apps/administration/entryclient.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace auburnspread::administration
{

namespace
{

using nlohmann::json;
using platform::ReadResult;

constexpr std::size_t ConcurrentCalls = 16;
constexpr auto EntriesPrefix = "auburnspread/entries/";

auto textOf(const json &object, const char *key) -> std::string
{
    if (!object.is_object() || !object.contains(key) || !object[key].is_string()) {
        return {};
    }
    return object[key].get<std::string>();
}

/// Registered entries with an admin address.
auto readRegistrations(const platform::Snapshot &snapshot) -> std::vector<EntryAnswer>
{
    auto entries = std::vector<EntryAnswer>();
    for (const auto &stored : snapshot.entries) {
        const auto registration = json::parse(stored.value, nullptr, false);
        auto entry = EntryAnswer{ .entry = textOf(registration, "entry"), .adminAddress = textOf(registration, "admin_address") };
        if (!entry.entry.empty() && !entry.adminAddress.empty()) {
            entries.push_back(std::move(entry));
        }
    }
    return entries;
}

} // namespace

/// One call at all entries. Lives as long as exchanges of it are under way.
class EntryClient::Calling : public std::enable_shared_from_this<Calling>
{
public:
    Calling(EntryClient &client, EntryCall call, OnEntryAnswers onAnswers)
        : client_(client)
        , call_(std::move(call))
        , onAnswers_(std::move(onAnswers))
    {
    }

    auto start() -> void
    {
        client_.store_.list(EntriesPrefix, [self = shared_from_this()](const ReadResult &result) { self->handleDirectory(result); });
    }

private:
    auto handleDirectory(const ReadResult &result) -> void
    {
        if (const auto *const failure = std::get_if<platform::Failure>(&result)) {
            result_.directoryError = failure->text;
            for (const auto &address : client_.options_.fallbackAddresses) {
                result_.answers.push_back({ .entry = address, .adminAddress = address });
            }
        } else {
            result_.answers = readRegistrations(std::get<platform::Snapshot>(result));
        }
        if (!call_.onlyEntry.empty()) {
            std::erase_if(result_.answers, [this](const EntryAnswer &entry) { return entry.entry != call_.onlyEntry; });
        }
        std::ranges::sort(result_.answers, {}, &EntryAnswer::entry);
        callEntries();
    }

    auto callEntries() -> void
    {
        if (next_ == result_.answers.size() && inFlight_ == 0) {
            onAnswers_(result_);
            return;
        }
        while (next_ < result_.answers.size() && inFlight_ < ConcurrentCalls) {
            callEntry(next_++);
        }
    }

    auto callEntry(std::size_t index) -> void
    {
        ++inFlight_;
        auto request
            = http::Request{ .method = call_.method, .address = result_.answers[index].adminAddress, .path = call_.path, .timeout = client_.options_.timeout };
        if (!client_.options_.token.empty()) {
            request.headers.push_back({ .name = "Authorization", .value = "Bearer " + client_.options_.token });
        }
        client_.client_.fetch(request, [self = shared_from_this(), index](const http::Result &result) { self->handleAnswer(index, result); });
    }

    auto handleAnswer(std::size_t index, const http::Result &result) -> void
    {
        --inFlight_;
        auto &answer = result_.answers[index];
        if (const auto *const error = std::get_if<http::Error>(&result)) {
            answer.error = error->text;
        } else {
            const auto &response = std::get<http::Response>(result);
            answer.status = response.status;
            answer.text = response.body;
            answer.body = json::parse(response.body, nullptr, false);
            if (answer.body.is_discarded()) {
                answer.body = nullptr;
            }
            if (!answer.succeeded()) {
                answer.error = "status " + std::to_string(answer.status);
            }
        }
        callEntries();
    }

    EntryClient &client_;
    EntryCall call_;
    OnEntryAnswers onAnswers_;
    EntryAnswers result_;
    std::size_t next_ = 0;
    std::size_t inFlight_ = 0;
};

EntryClient::EntryClient(task::EventLoop &loop, platform::Store &store, EntryClientOptions options)
    : store_(store)
    , options_(std::move(options))
    , client_(loop)
{
}

auto EntryClient::call(const EntryCall &call, OnEntryAnswers onAnswers) -> void
{
    std::make_shared<Calling>(*this, call, std::move(onAnswers))->start();
}

auto adoptedVersion(const EntryAnswer &status) -> std::uint64_t
{
    const auto &body = status.body;
    if (!body.is_object() || !body.contains("configuration") || !body["configuration"].is_object()) {
        return 0;
    }
    const auto &version = body["configuration"]["version"];
    return version.is_number_unsigned() ? version.get<std::uint64_t>() : 0;
}

} // namespace auburnspread::administration
