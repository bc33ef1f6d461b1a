#include "apps/placer/documentsource.h"

#include "runtime/logging/logging.h"

#include <exception>
#include <utility>
#include <variant>

namespace auburnspread::placer
{

namespace
{

constexpr Duration RetryPause = std::chrono::seconds(2);
/// A document changes a few times in a minute at most; a waiting call that ends without a change returns the whole value.
constexpr Duration WatchTime = std::chrono::minutes(2);
/// Answers no call of the core: read because of a watch.
constexpr placement::CallId WatchCall{};

} // namespace

/// One manifest whose parts are being fetched.
struct DocumentSource::Reading {
    placement::CallId call{};
    configuration::Manifest manifest;
    std::vector<std::string> missing;
    configuration::PartContents parts;
};

DocumentSource::DocumentSource(task::EventLoop &loop, platform::Store &store, OnEvent onEvent)
    : loop_(loop)
    , store_(store)
    , onEvent_(std::move(onEvent))
{
}

DocumentSource::~DocumentSource() = default;

auto DocumentSource::read(placement::CallId call) -> void
{
    store_.get(std::string(configuration::ManifestKey), [this, call](const platform::ReadResult &result) {
        if (const auto *snapshot = std::get_if<platform::Snapshot>(&result)) {
            begin(call, *snapshot);
        } else {
            fail(call, std::get<platform::Failure>(result).text);
        }
    });
}

auto DocumentSource::watch(bool active) -> void
{
    if (!active) {
        subscription_.reset();
        retry_ = task::Watch();
        return;
    }
    if (!subscription_) {
        subscription_ = platform::subscribeToKey(
            loop_, store_, std::string(configuration::ManifestKey), { .wait = WatchTime }, [this](const platform::Snapshot &snapshot) {
                begin(WatchCall, snapshot);
            });
    }
}

auto DocumentSource::begin(placement::CallId call, const platform::Snapshot &snapshot) -> void
{
    if (snapshot.entries.empty()) {
        fail(call, "no document was submitted yet");
        return;
    }
    auto reading = std::make_shared<Reading>();
    reading->call = call;
    try {
        reading->manifest = configuration::parseManifest(snapshot.entries.front().value);
    } catch (const configuration::ManifestError &error) {
        fail(call, error.what());
        return;
    }
    for (const auto &part : reading->manifest.parts) {
        if (const auto held = parts_.find(part.digest); held != parts_.end()) {
            reading->parts.insert(*held);
        } else {
            reading->missing.push_back(part.digest);
        }
    }
    fetchNext(reading);
}

auto DocumentSource::fetchNext(const ReadingPointer &reading) -> void
{
    if (reading->missing.empty()) {
        finish(reading);
        return;
    }
    const auto digest = reading->missing.back();
    store_.get(configuration::partKey(digest), [this, reading, digest](const platform::ReadResult &result) {
        const auto *snapshot = std::get_if<platform::Snapshot>(&result);
        if (snapshot == nullptr || snapshot->entries.empty()) {
            fail(reading->call, "part " + digest + " was not read");
            return;
        }
        auto content = configuration::decodePart(snapshot->entries.front().value, digest);
        if (!content) {
            fail(reading->call, "part " + digest + " has other content");
            return;
        }
        reading->missing.pop_back();
        reading->parts[digest] = std::make_shared<const std::string>(std::move(*content));
        fetchNext(reading);
    });
}

auto DocumentSource::finish(const ReadingPointer &reading) -> void
{
    try {
        auto document = std::make_shared<const configuration::AdoptedDocument>(configuration::assemble(reading->manifest, reading->parts));
        parts_ = reading->parts;
        onEvent_(placement::DocumentRead{ .call = reading->call, .document = std::move(document) });
    } catch (const configuration::ManifestError &error) {
        fail(reading->call, error.what());
    }
}

auto DocumentSource::fail(placement::CallId call, const std::string &text) -> void
{
    logging::event(logging::Level::Warning, "document-not-read", { { "step", "document" }, { "error", text } });
    if (call != WatchCall) {
        onEvent_(placement::DocumentReadFailed{ .call = call });
        return;
    }
    retry_ = loop_.after(RetryPause, [this]() { read(WatchCall); });
}

} // namespace auburnspread::placer
