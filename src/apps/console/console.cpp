#include "apps/console/console.h"

#include "apps/console/html.h"
#include "apps/console/itemform.h"
#include "runtime/logging/logging.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburnspread::console
{

namespace
{

using administration::EntryAnswers;
using administration::InForce;
using administration::ReadFailure;
using configuration::Document;
using configuration::Section;
using configuration::SubmissionFinished;
using configuration::SubmissionOutcome;

constexpr int Ok = 200;
constexpr int SeeOther = 303;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;
constexpr auto HtmlType = "text/html; charset=utf-8";

constexpr std::size_t MaximumDocuments = 8;
constexpr std::size_t ShownNames = 100;

/// Pages load nothing from elsewhere, run no script and are not framed; a page with a draft is not kept by caches.
auto pageHeaders() -> http::Headers
{
    return { { .name = "Content-Security-Policy",
               .value = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'" },
             { .name = "X-Content-Type-Options", .value = "nosniff" },
             { .name = "Referrer-Policy", .value = "same-origin" },
             { .name = "Cache-Control", .value = "no-store" } };
}

/// `verb:section:name` of a button; later parts may be absent.
struct DraftAction {
    std::string verb;
    std::string subject;
    std::string name;
};

auto parseAction(std::string_view text) -> DraftAction
{
    const auto first = std::min(text.find(':'), text.size());
    auto action = DraftAction{ .verb = std::string(text.substr(0, first)) };
    text.remove_prefix(std::min(first + 1, text.size()));
    const auto second = std::min(text.find(':'), text.size());
    action.subject = text.substr(0, second);
    text.remove_prefix(std::min(second + 1, text.size()));
    action.name = text;
    return action;
}

auto parseVersion(std::string_view text) -> std::optional<std::uint64_t>
{
    auto version = std::uint64_t{ 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(version) : std::nullopt;
}

auto documentOf(const InForce &inForce) -> Document
{
    return inForce.configuration ? inForce.configuration->document : Document();
}

/// JSON pointer of an item in the document.
auto itemPath(const Document &document, Section section, const std::string &name) -> std::string
{
    auto path = "/" + std::string(sectionKey(section));
    if (!isNamedList(section)) {
        return path;
    }
    const auto names = itemNames(document, section);
    const auto index = std::ranges::find(names, name) - names.begin();
    return path + "/" + std::to_string(index);
}

auto highestAdopted(const EntryAnswers &entries) -> std::uint64_t
{
    auto highest = std::uint64_t{ 0 };
    for (const auto &answer : entries.answers) {
        highest = std::max(highest, adoptedVersion(answer));
    }
    return highest;
}

} // namespace

/// One request of an operator until it is answered.
struct Console::Visit {
    http::Replier replier;
    Operator account;
    FormData form;
    ConfigurationDraft draft;
    InForce inForce;

    auto show(const std::string &page, int status = Ok) const -> void
    {
        replier.reply(status, HtmlType, page, pageHeaders());
    }

    auto redirect(const std::string &path) const -> void
    {
        auto headers = pageHeaders();
        headers.push_back({ .name = "Location", .value = path });
        replier.reply(SeeOther, HtmlType, {}, headers);
    }

    /// For the next form; the token is made anew for each page.
    [[nodiscard]] auto context() const -> FormContext
    {
        return { .draft = draft, .formToken = makeFormToken(account) };
    }

    /// The document in force with the draft's edits, with all its faults.
    [[nodiscard]] auto draftDocument() const -> configuration::Draft
    {
        return configuration::parseDraft(configuration::applyEdits(documentOf(inForce), draft.edits));
    }
};

Console::Console(task::EventLoop &loop, ConsoleOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , store_(loop, { .address = options_.platformAddress })
    , configuration_(loop, store_)
    , entries_(loop, store_, options_.entries)
    , server_(loop)
{
    server_.route("/", [this](const auto &request, const auto &replier) { handle(request, replier); });
    collecting_ = loop_.every(options_.collectInterval, [this] {
        configuration_.collect([](std::size_t removed) { logging::event(logging::Level::Info, "parts-collected", { { "removed", removed } }); });
    });
}

auto Console::listen() -> std::string
{
    return server_.listen(options_.listenAddress);
}

auto Console::stop(std::function<void()> onStopped) -> void
{
    server_.stop(std::move(onStopped));
}

auto Console::handle(const http::IncomingRequest &request, const http::Replier &replier) -> void
{
    if (request.path == "/healthz") {
        replier.reply(Ok, "text/plain", "ok\n");
        return;
    }
    const auto *const account = authenticate(options_.operators, request);
    if (account == nullptr) {
        auto headers = pageHeaders();
        headers.push_back({ .name = "WWW-Authenticate", .value = "Basic realm=\"auburnspread\", charset=\"UTF-8\"" });
        replier.reply(Unauthorized, HtmlType, renderError("Sign in", "Operator name and token are needed."), headers);
        return;
    }
    const auto visit = std::make_shared<Visit>(Visit{ .replier = replier, .account = *account, .form = {}, .draft = {}, .inForce = {} });
    if (request.method == http::Method::Get) {
        handleGet(request, visit);
    } else if (request.method == http::Method::Post && request.path == "/draft") {
        handlePost(request, visit);
    } else {
        visit->show(renderError("Not found", "There is no such page."), NotFound);
    }
}

auto Console::handleGet(const http::IncomingRequest &request, const VisitPointer &visit) -> void
{
    if (request.path == "/") {
        showStatus(visit);
    } else if (request.path == "/style.css") {
        visit->replier.reply(Ok, "text/css", styleSheet());
    } else if (request.path == "/draft") {
        beginDraft(visit);
    } else if (request.path == "/submitted") {
        const auto found = request.query.find("version");
        showProgress(found == request.query.end() ? 0 : parseVersion(found->second).value_or(0), visit);
    } else {
        visit->show(renderError("Not found", "There is no such page."), NotFound);
    }
}

auto Console::showStatus(const VisitPointer &visit) -> void
{
    configuration_.readInForce([this, visit](const administration::InForceResult &result) {
        auto view = StatusView();
        if (const auto *const failure = std::get_if<ReadFailure>(&result)) {
            view.platformError = failure->text;
        } else {
            view.version = std::get<InForce>(result).manifest.version;
            view.author = std::get<InForce>(result).manifest.author;
        }
        entries_.call({ .path = "/v1/status" }, [this, visit, view = std::move(view)](const EntryAnswers &entries) mutable {
            view.entries = entries;
            showMetrics(visit, std::move(view));
        });
    });
}

auto Console::showMetrics(const VisitPointer &visit, StatusView view) -> void
{
    entries_.call({ .path = "/metrics" }, [visit, view = std::move(view)](const EntryAnswers &entries) mutable {
        for (const auto &answer : entries.answers) {
            addRefusals(answer.text, view.refusals);
        }
        visit->show(renderStatus(view));
    });
}

auto Console::showProgress(std::uint64_t version, const VisitPointer &visit) -> void
{
    entries_.call({ .path = "/v1/status" }, [visit, version](const EntryAnswers &entries) { visit->show(renderProgress(version, entries)); });
}

auto Console::beginDraft(const VisitPointer &visit) -> void
{
    configuration_.readInForce([visit](const administration::InForceResult &result) {
        if (const auto *const failure = std::get_if<ReadFailure>(&result)) {
            visit->show(renderError("Configuration", "The document in force can't be read: " + failure->text), Unavailable);
            return;
        }
        const auto version = std::get<InForce>(result).manifest.version;
        visit->draft.editedVersion = version;
        visit->show(renderSections(visit->context(), version));
    });
}

auto Console::handlePost(const http::IncomingRequest &request, const VisitPointer &visit) -> void
{
    auto form = parseForm(request.body);
    if (!form) {
        visit->show(renderError("Bad request", "The form can't be read."), BadRequest);
        return;
    }
    if (!isSameOrigin(request) || !isFormToken(visit->account, fieldOf(*form, "form_token"))) {
        logging::event(logging::Level::Warning, "form-refused", { { "operator", visit->account.name }, { "peer", request.peer } });
        visit->show(renderError("Refused", "This form does not come from a page of this console. Open the page again."), Forbidden);
        return;
    }
    auto draft = parseDraft(fieldOf(*form, "draft"));
    if (!draft) {
        visit->show(renderError("Bad request", "The draft can't be read."), BadRequest);
        return;
    }
    visit->form = *std::move(form);
    visit->draft = *std::move(draft);
    configuration_.readInForce([this, visit](const administration::InForceResult &result) {
        if (const auto *const failure = std::get_if<ReadFailure>(&result)) {
            const auto text = "The platform's service does not answer, so nothing was changed. Go back, keep the page and try again. " + failure->text;
            visit->show(renderError("Configuration", text), Unavailable);
            return;
        }
        editDraft(visit, std::get<InForce>(result));
    });
}

auto Console::editDraft(const VisitPointer &visit, const InForce &inForce) -> void
{
    visit->inForce = inForce;
    if (inForce.configuration) {
        documents_[inForce.manifest.version] = inForce.configuration;
    }
    while (documents_.size() > MaximumDocuments) {
        documents_.erase(documents_.begin());
    }
    const auto action = parseAction(fieldOf(visit->form, "action"));
    const auto section = configuration::sectionFromKey(action.subject);
    if (action.verb == "review") {
        review(visit);
    } else if (action.verb == "submit") {
        submit(visit);
    } else if (action.verb == "discard") {
        visit->redirect("/draft");
    } else if (action.verb == "rebase") {
        visit->draft.editedVersion = parseVersion(action.subject).value_or(inForce.manifest.version);
        review(visit);
    } else if (action.verb == "section" && section && isNamedList(*section)) {
        showSection(visit, *section);
    } else if ((action.verb == "section" || action.verb == "open" || action.verb == "new") && section) {
        showItem(visit, *section, action.name);
    } else if (action.verb == "save" && section) {
        saveItem(visit, *section, action.name);
    } else if (action.verb == "remove" && section && isNamedList(*section)) {
        removeItem(visit, *section, action.name);
    } else {
        visit->show(renderSections(visit->context(), inForce.manifest.version));
    }
}

auto Console::showSection(const VisitPointer &visit, Section section) -> void
{
    auto view = SectionView{ .section = section, .names = {}, .filter = fieldOf(visit->form, "filter") };
    for (const auto &name : itemNames(visit->draftDocument().document, section)) {
        if (name.find(view.filter) == std::string::npos) {
            continue;
        }
        ++view.total;
        if (view.names.size() < ShownNames) {
            view.names.push_back(name);
        }
    }
    visit->show(renderSection(visit->context(), view));
}

auto Console::showItem(const VisitPointer &visit, Section section, const std::string &name) -> void
{
    const auto draft = visit->draftDocument();
    auto view = ItemView{ .section = section, .name = name, .value = itemValue(draft.document, section, name), .problems = {} };
    if (view.value.empty()) {
        view.name.clear();
        view.value = configuration::defaultItem(section);
    } else {
        view.problems = problemsBelow(draft.problems, itemPath(draft.document, section, name));
    }
    visit->show(renderItemPage(visit->context(), view));
}

auto Console::saveItem(const VisitPointer &visit, Section section, const std::string &name) -> void
{
    auto view = ItemView{ .section = section, .name = name, .value = readItem(section, visit->form), .problems = {} };
    auto newName = isNamedList(section) ? fieldOf(visit->form, "name") : std::string();
    auto changed = *visit;
    if (newName != name && !name.empty()) {
        addEdit(changed.draft.edits, { .section = section, .name = name, .value = {} });
    }
    const auto isTaken = newName != name && !itemValue(changed.draftDocument().document, section, newName).empty();
    addEdit(changed.draft.edits, { .section = section, .name = newName, .value = view.value });
    const auto draft = changed.draftDocument();
    view.problems = problemsBelow(draft.problems, itemPath(draft.document, section, newName));
    if (isTaken) {
        view.problems.push_back({ .path = "/name", .text = "another one has this name" });
    }
    view.saved = view.problems.empty();
    if (view.saved) {
        visit->draft = changed.draft;
        view.name = newName;
    }
    visit->show(renderItemPage(visit->context(), view));
}

auto Console::removeItem(const VisitPointer &visit, Section section, const std::string &name) -> void
{
    addEdit(visit->draft.edits, { .section = section, .name = name, .value = {} });
    showSection(visit, section);
}

auto Console::review(const VisitPointer &visit) -> void
{
    const auto draft = visit->draftDocument();
    const auto &manifest = visit->inForce.manifest;
    const auto view = ReviewView{ .inForceVersion = manifest.version,
                                  .inForceAuthor = manifest.author,
                                  .problems = draft.problems,
                                  .changes = differences(documentOf(visit->inForce), draft.document) };
    visit->show(renderReview(visit->context(), view));
}

auto Console::submit(const VisitPointer &visit) -> void
{
    auto request = configuration::SubmissionRequest{ .edited = documentOf(visit->inForce), .editedVersion = visit->draft.editedVersion };
    const auto known = documents_.find(request.editedVersion);
    if (known != documents_.end()) {
        request.edited = known->second->document;
    }
    auto draft = configuration::parseDraft(configuration::applyEdits(request.edited, visit->draft.edits));
    if (!draft.problems.empty()) {
        review(visit);
        return;
    }
    request.document = std::move(draft.document);
    request.author = visit->account.name;
    request.nonce = administration::makeNonce();
    entries_.call({ .path = "/v1/status" }, [this, visit, request = std::move(request)](const EntryAnswers &entries) mutable {
        request.highestSeen = highestAdopted(entries);
        sendSubmission(visit, request);
    });
}

auto Console::sendSubmission(const VisitPointer &visit, const configuration::SubmissionRequest &request) -> void
{
    configuration_.submit(request, [this, visit](const SubmissionFinished &result) { finishSubmission(visit, result); });
}

auto Console::finishSubmission(const VisitPointer &visit, const SubmissionFinished &result) -> void
{
    logging::event(logging::Level::Info,
                   "submission",
                   { { "operator", visit->account.name }, { "outcome", submissionOutcomeName(result.outcome) }, { "version", result.version } });
    if (result.outcome == SubmissionOutcome::Accepted) {
        visit->redirect("/submitted?version=" + std::to_string(result.version));
        return;
    }
    visit->show(renderOutcome(visit->context(), result));
}

} // namespace auburnspread::console
