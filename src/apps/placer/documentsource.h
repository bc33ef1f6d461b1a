/// \file
/// Reads the configuration document from the platform's service: the manifest and those parts that changed.

#pragma once

#include "core/configuration/manifest.h"
#include "core/placement/events.h"
#include "runtime/task/eventloop.h"
#include "wire/platform/store.h"
#include "wire/platform/subscription.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::placer
{

class DocumentSource
{
public:
    using OnEvent = std::function<void(const placement::Event &event)>;

    /// \p onEvent gets DocumentRead and DocumentReadFailed, later and on the loop.
    DocumentSource(task::EventLoop &loop, platform::Store &store, OnEvent onEvent);
    ~DocumentSource();
    DocumentSource(const DocumentSource &) = delete;
    auto operator=(const DocumentSource &) -> DocumentSource & = delete;

    /// Reads the document now.
    auto read(placement::CallId call) -> void;
    /// Reads it after each change from now on, or no more. Not to be called from within \p onEvent.
    auto watch(bool active) -> void;

private:
    struct Reading;
    using ReadingPointer = std::shared_ptr<Reading>;

    auto begin(placement::CallId call, const platform::Snapshot &snapshot) -> void;
    auto fetchNext(const ReadingPointer &reading) -> void;
    auto finish(const ReadingPointer &reading) -> void;
    auto fail(placement::CallId call, const std::string &text) -> void;

    task::EventLoop &loop_;
    platform::Store &store_;
    OnEvent onEvent_;
    configuration::PartContents parts_; ///< of the document read last
    platform::KeySubscription subscription_;
    task::Watch retry_;
};

} // namespace auburnspread::placer
