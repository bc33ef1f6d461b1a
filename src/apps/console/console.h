/// \file
/// The console: routes requests of operators' browsers to pages. It keeps no state but a cache of documents.

#pragma once

#include "apps/administration/configurationclient.h"
#include "apps/administration/entryclient.h"
#include "apps/console/access.h"
#include "apps/console/draft.h"
#include "apps/console/formdata.h"
#include "apps/console/pages.h"
#include "wire/http/server.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::console
{

struct ConsoleOptions {
    std::string listenAddress;
    std::string platformAddress;
    std::vector<Operator> operators;
    administration::EntryClientOptions entries;
    Duration collectInterval = std::chrono::hours(6); ///< looks for parts of old documents
};

class Console
{
public:
    Console(task::EventLoop &loop, ConsoleOptions options);
    Console(const Console &) = delete;
    auto operator=(const Console &) -> Console & = delete;

    /// Throws std::runtime_error if the address can't be had. Returns the address in use.
    auto listen() -> std::string;
    auto stop(std::function<void()> onStopped) -> void;

private:
    struct Visit;
    using VisitPointer = std::shared_ptr<Visit>;

    auto handle(const http::IncomingRequest &request, const http::Replier &replier) -> void;
    auto handleGet(const http::IncomingRequest &request, const VisitPointer &visit) -> void;
    auto handlePost(const http::IncomingRequest &request, const VisitPointer &visit) -> void;
    auto showStatus(const VisitPointer &visit) -> void;
    auto showMetrics(const VisitPointer &visit, StatusView view) -> void;
    auto showProgress(std::uint64_t version, const VisitPointer &visit) -> void;
    auto beginDraft(const VisitPointer &visit) -> void;
    auto editDraft(const VisitPointer &visit, const administration::InForce &inForce) -> void;
    auto showSection(const VisitPointer &visit, configuration::Section section) -> void;
    auto showItem(const VisitPointer &visit, configuration::Section section, const std::string &name) -> void;
    auto saveItem(const VisitPointer &visit, configuration::Section section, const std::string &name) -> void;
    auto removeItem(const VisitPointer &visit, configuration::Section section, const std::string &name) -> void;
    auto review(const VisitPointer &visit) -> void;
    auto submit(const VisitPointer &visit) -> void;
    auto sendSubmission(const VisitPointer &visit, const configuration::SubmissionRequest &request) -> void;
    auto finishSubmission(const VisitPointer &visit, const configuration::SubmissionFinished &result) -> void;

    task::EventLoop &loop_;
    ConsoleOptions options_;
    platform::Store store_;
    administration::ConfigurationClient configuration_;
    administration::EntryClient entries_;
    http::Server server_;
    /// Documents by version, for the differences that a conflict shows; bounded.
    std::map<std::uint64_t, std::shared_ptr<const configuration::AdoptedDocument>> documents_;
    task::Watch collecting_;
};

} // namespace auburnspread::console
