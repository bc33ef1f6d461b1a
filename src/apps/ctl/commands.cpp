#include "apps/ctl/commands.h"

#include "apps/ctl/output.h"
#include "apps/ctl/session.h"
#include "core/base/reason.h"
#include "core/configuration/serializer.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <stdexcept>

namespace auburnspread::ctl
{

namespace
{

using administration::EntryAnswer;
using administration::EntryAnswers;
using administration::InForce;
using configuration::Document;
using configuration::SubmissionOutcome;
using nlohmann::json;

/// Ends a command early, with a line for standard error.
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitCode code, const std::string &text)
        : std::runtime_error(text)
        , code_(code)
    {
    }

    [[nodiscard]] auto code() const -> ExitCode
    {
        return code_;
    }

private:
    ExitCode code_;
};

/// What a command needs.
struct Context {
    const Invocation &invocation;
    std::ostream &output;
    std::ostream &errors;
};

auto readFile(const std::string &path) -> std::string
{
    if (path == "-") {
        return { std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>() };
    }
    auto stream = std::ifstream(path, std::ios::binary);
    if (!stream) {
        throw CommandError(ExitCode::Usage, "cannot read " + path);
    }
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

auto print(const Context &context, const json &value, const std::string &text) -> void
{
    context.output << (context.invocation.json ? renderJson(value) : text);
}

/// The document of the file, or its faults printed.
auto parseFile(const Context &context) -> std::optional<Document>
{
    auto parsed = configuration::parseDocument(readFile(context.invocation.argument));
    if (!parsed.document) {
        const auto count = std::to_string(parsed.problems.size()) + " problems\n";
        print(context, { { "valid", false }, { "problems", toJson(parsed.problems) } }, renderProblems(parsed.problems) + count);
    }
    return parsed.document;
}

auto readInForce(Session &session) -> InForce
{
    const auto result = session.readInForce();
    if (const auto *const failure = std::get_if<administration::ReadFailure>(&result)) {
        throw CommandError(ExitCode::Unreachable, failure->text);
    }
    return std::get<InForce>(result);
}

auto documentOf(const InForce &inForce) -> Document
{
    return inForce.configuration ? inForce.configuration->document : Document();
}

auto versionOf(const InForce &inForce) -> std::uint64_t
{
    return inForce.manifest.version;
}

auto check(const Context &context) -> ExitCode
{
    const auto document = parseFile(context);
    if (!document) {
        return ExitCode::Negative;
    }
    const auto digest = configuration::split(*document).digest;
    const auto text = "valid: " + document->name + ", " + std::to_string(document->workspaces.size()) + " workspaces, "
        + std::to_string(document->classes.size()) + " classes, " + std::to_string(document->backendServers.size()) + " backend servers, "
        + std::to_string(document->services.size()) + " services\ndigest " + digest + "\n";
    print(context, { { "valid", true }, { "problems", json::array() }, { "digest", digest } }, text);
    return ExitCode::Done;
}

auto diff(const Context &context) -> ExitCode
{
    const auto document = parseFile(context);
    if (!document) {
        throw CommandError(ExitCode::Usage, "the file is not a valid document");
    }
    auto session = Session(context.invocation);
    const auto inForce = readInForce(session);
    const auto changes = differences(documentOf(inForce), *document);
    const auto version = std::to_string(versionOf(inForce));
    const auto text = changes.empty() ? "no difference to version " + version + "\n" : "against version " + version + "\n" + renderChanges(changes);
    print(context, { { "version", versionOf(inForce) }, { "changes", toJson(changes) } }, text);
    return changes.empty() ? ExitCode::Done : ExitCode::Negative;
}

/// Highest version that an entry reports. Entries that do not answer are passed over: their version is that of the
/// platform's service or an older one, unless the service lost data.
auto highestAdopted(Session &session) -> std::uint64_t
{
    auto highest = std::uint64_t{ 0 };
    for (const auto &answer : session.callEntries({ .path = "/v1/status" }).answers) {
        highest = std::max(highest, adoptedVersion(answer));
    }
    return highest;
}

auto exitCodeOf(SubmissionOutcome outcome) -> ExitCode
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
    case SubmissionOutcome::Unchanged:
        return ExitCode::Done;
    case SubmissionOutcome::Conflict:
        return ExitCode::Conflict;
    case SubmissionOutcome::TooLarge:
        return ExitCode::Negative;
    case SubmissionOutcome::NotDone:
        return ExitCode::Unreachable;
    case SubmissionOutcome::Unknown:
        break;
    }
    return ExitCode::Unknown;
}

auto describeSubmission(const configuration::SubmissionFinished &result) -> std::string
{
    auto text = std::string(submissionOutcomeName(result.outcome));
    if (result.version > 0) {
        text += ", version " + std::to_string(result.version);
    }
    text += result.text.empty() ? "\n" : ": " + result.text + "\n";
    if (result.outcome == SubmissionOutcome::Conflict) {
        text += "in force by " + result.otherAuthor + "\n";
        text += result.theirs.empty() ? "" : "changed there:\n" + renderChanges(result.theirs);
        text += "changes of this document, not in force:\n" + renderChanges(result.ours);
    }
    return text;
}

auto submit(const Context &context) -> ExitCode
{
    const auto document = parseFile(context);
    if (!document) {
        return ExitCode::Negative;
    }
    auto session = Session(context.invocation);
    const auto inForce = readInForce(session);
    const auto edited = context.invocation.editedVersion.value_or(0);
    auto request = configuration::SubmissionRequest{ .document = *document, .editedVersion = edited };
    // Of an older version only its number is known here; then the conflict tells what differs from the one in force.
    request.edited = documentOf(inForce);
    request.highestSeen = highestAdopted(session);
    request.author = context.invocation.author;
    request.nonce = administration::makeNonce();
    const auto result = session.submit(request);
    const auto value = json{ { "outcome", submissionOutcomeName(result.outcome) },
                             { "version", result.version },
                             { "digest", result.digest },
                             { "text", result.text },
                             { "other_author", result.otherAuthor },
                             { "theirs", toJson(result.theirs) },
                             { "ours", toJson(result.ours) } };
    print(context, value, describeSubmission(result));
    return exitCodeOf(result.outcome);
}

auto show(const Context &context) -> ExitCode
{
    auto session = Session(context.invocation);
    const auto inForce = readInForce(session);
    if (!inForce.configuration) {
        throw CommandError(ExitCode::Negative, "there is no document yet");
    }
    if (context.invocation.json) {
        const auto document = json::parse(configuration::serializeDocument(inForce.configuration->document));
        context.output << renderJson({ { "version", versionOf(inForce) }, { "digest", inForce.manifest.digest }, { "document", document } });
    } else {
        context.errors << "version " << versionOf(inForce) << "\n";
        context.output << configuration::formatDocument(inForce.configuration->document);
    }
    return ExitCode::Done;
}

auto valueAt(const EntryAnswer &answer, const char *key) -> json
{
    return answer.body.is_object() && answer.body.contains(key) ? answer.body[key] : json(nullptr);
}

auto toJson(const EntryAnswers &answers) -> json
{
    auto list = json::array();
    for (const auto &answer : answers.answers) {
        list.push_back({ { "entry", answer.entry },
                         { "admin_address", answer.adminAddress },
                         { "status", answer.status },
                         { "error", answer.error },
                         { "body", answer.body } });
    }
    return list;
}

auto askEntries(const Context &context, Session &session, const administration::EntryCall &call) -> EntryAnswers
{
    auto answers = session.callEntries(call);
    if (!answers.directoryError.empty()) {
        context.errors << "the list of entries could not be read, asking those of --entries: " << answers.directoryError << "\n";
    }
    return answers;
}

/// The same; throws if there is none to ask.
auto callEntries(const Context &context, Session &session, const administration::EntryCall &call) -> EntryAnswers
{
    auto answers = askEntries(context, session, call);
    if (answers.answers.empty()) {
        const auto what = call.onlyEntry.empty() ? std::string("no entry is registered") : "no entry is named " + call.onlyEntry;
        throw CommandError(ExitCode::Unreachable, what);
    }
    return answers;
}

auto failedCount(const EntryAnswers &answers) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(answers.answers, [](const EntryAnswer &answer) { return !answer.succeeded(); }));
}

/// Exit code of a change that every entry has to make.
auto changeExitCode(const EntryAnswers &answers) -> ExitCode
{
    const auto failed = failedCount(answers);
    if (failed == 0) {
        return ExitCode::Done;
    }
    return failed == answers.answers.size() ? ExitCode::Unreachable : ExitCode::Partial;
}

auto statusTable(const EntryAnswers &answers) -> Table
{
    auto table = Table{ .titles = { "ENTRY", "FAILURE DOMAIN", "READY", "DRAINING", "VERSION", "QUARANTINED", "ERROR" }, .rows = {} };
    for (const auto &answer : answers.answers) {
        const auto quarantined = valueAt(answer, "quarantined");
        table.rows.push_back({ answer.entry,
                               cellOf(valueAt(answer, "failure_domain")),
                               cellOf(valueAt(answer, "ready")),
                               cellOf(valueAt(answer, "draining")),
                               std::to_string(adoptedVersion(answer)),
                               std::to_string(quarantined.is_array() ? quarantined.size() : 0),
                               answer.error.empty() ? "-" : answer.error });
    }
    return table;
}

auto status(const Context &context) -> ExitCode
{
    auto session = Session(context.invocation);
    const auto inForce = session.readInForce();
    const auto answers = askEntries(context, session, { .path = "/v1/status" });
    const auto *const stored = std::get_if<InForce>(&inForce);
    const auto version = stored == nullptr ? std::uint64_t{ 0 } : versionOf(*stored);
    const auto current = std::ranges::count_if(answers.answers, [version](const EntryAnswer &answer) { return adoptedVersion(answer) >= version; });
    const auto everywhere = stored != nullptr && !answers.answers.empty() && static_cast<std::size_t>(current) == answers.answers.size();
    auto text = stored == nullptr ? "the platform's service does not answer: " + std::get<administration::ReadFailure>(inForce).text + "\n"
                                  : "version " + std::to_string(version) + " by " + stored->manifest.author + ", in force on " + std::to_string(current)
            + " of " + std::to_string(answers.answers.size()) + " entries\n";
    const auto value
        = json{ { "version", stored == nullptr ? json(nullptr) : json(version) }, { "entries_in_force", current }, { "entries", toJson(answers) } };
    print(context, value, text + renderTable(statusTable(answers)));
    return everywhere ? ExitCode::Done : ExitCode::Negative;
}

auto listEntries(const Context &context) -> ExitCode
{
    auto session = Session(context.invocation);
    const auto answers = callEntries(context, session, { .path = "/v1/status" });
    auto table = Table{ .titles = { "ENTRY", "ADMIN ADDRESS", "FAILURE DOMAIN", "INCARNATION", "MEMBERS SEEN", "ANSWERS" }, .rows = {} };
    for (const auto &answer : answers.answers) {
        const auto members = valueAt(answer, "members");
        table.rows.push_back({ answer.entry,
                               answer.adminAddress,
                               cellOf(valueAt(answer, "failure_domain")),
                               cellOf(valueAt(answer, "incarnation")),
                               members.is_array() ? std::to_string(members.size()) : "-",
                               answer.succeeded() ? "yes" : answer.error });
    }
    print(context, toJson(answers), renderTable(table));
    return failedCount(answers) == 0 ? ExitCode::Done : ExitCode::Partial;
}

auto changeTable(const EntryAnswers &answers) -> std::string
{
    auto table = Table{ .titles = { "ENTRY", "RESULT" }, .rows = {} };
    for (const auto &answer : answers.answers) {
        table.rows.push_back({ answer.entry, answer.succeeded() ? "done" : answer.error });
    }
    return renderTable(table);
}

/// Under which the entry of this name is asked; empty: no entry that answers has this name. While the platform's service
/// is out, entries are known by their addresses and only they themselves know their names.
auto findEntry(const EntryAnswers &statuses, const std::string &name) -> std::string
{
    for (const auto &answer : statuses.answers) {
        if (answer.entry == name || cellOf(valueAt(answer, "entry")) == name) {
            return answer.entry;
        }
    }
    return {};
}

/// Whether the document in force names the server. While it can't be read, the entries know the name or refuse it.
auto mayBeServer(Session &session, const std::string &name) -> bool
{
    const auto inForce = session.readInForce();
    const auto *const stored = std::get_if<InForce>(&inForce);
    if (stored == nullptr) {
        return true;
    }
    const auto document = documentOf(*stored);
    const auto isServer = [&name](const auto &server) { return server.name == name; };
    return std::ranges::any_of(document.backendServers, isServer)
        || std::ranges::any_of(document.services, [&](const auto &service) { return std::ranges::any_of(service.servers, isServer); });
}

auto drain(const Context &context) -> ExitCode
{
    auto session = Session(context.invocation);
    const auto &name = context.invocation.argument;
    const auto entry = findEntry(callEntries(context, session, { .path = "/v1/status" }), name);
    if (entry.empty() && !mayBeServer(session, name)) {
        throw CommandError(ExitCode::Unreachable, "no entry that answers and no server is named " + name);
    }
    const auto path = entry.empty() ? "/v1/backends/" + name + "/drain" : std::string("/v1/drain");
    const auto answers = callEntries(context, session, { .method = http::Method::Post, .path = path, .onlyEntry = entry });
    print(context, toJson(answers), changeTable(answers));
    return changeExitCode(answers);
}

auto listQuarantine(const Context &context) -> ExitCode
{
    auto session = Session(context.invocation);
    const auto answers = callEntries(context, session, { .path = "/v1/quarantine" });
    auto entriesOf = std::map<std::string, std::vector<std::string>>(); ///< by fingerprint
    for (const auto &answer : answers.answers) {
        const auto items = answer.body.is_object() && answer.body.contains("quarantined") ? answer.body["quarantined"] : answer.body;
        for (const auto &item : items.is_array() ? items : json::array()) {
            entriesOf[cellOf(item.is_object() && item.contains("fingerprint") ? item["fingerprint"] : item)].push_back(answer.entry);
        }
    }
    auto table = Table{ .titles = { "FINGERPRINT", "ON ENTRIES" }, .rows = {} };
    auto list = json::array();
    for (const auto &[fingerprint, entries] : entriesOf) {
        table.rows.push_back({ fingerprint, std::to_string(entries.size()) });
        list.push_back({ { "fingerprint", fingerprint }, { "entries", entries } });
    }
    print(context, list, renderTable(table));
    return failedCount(answers) == 0 ? ExitCode::Done : ExitCode::Partial;
}

auto releaseQuarantine(const Context &context) -> ExitCode
{
    const auto &fingerprint = context.invocation.argument;
    if (fingerprint.empty() || fingerprint.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
        throw CommandError(ExitCode::Usage, "a fingerprint is hexadecimal");
    }
    auto session = Session(context.invocation);
    const auto answers = callEntries(context, session, { .method = http::Method::Delete, .path = "/v1/quarantine/" + fingerprint, .onlyEntry = {} });
    print(context, toJson(answers), changeTable(answers));
    return changeExitCode(answers);
}

auto explain(const Context &context) -> ExitCode
{
    const auto reason = reasonFromName(context.invocation.argument);
    if (!reason) {
        auto names = std::string();
        for (const auto &entry : reasonTable()) {
            names += "\n  " + std::string(entry.name);
        }
        throw CommandError(ExitCode::Negative, "no reason is named " + context.invocation.argument + "; there are:" + names);
    }
    const auto &entry = reasonInfo(*reason);
    const auto value = json{ { "reason", entry.name }, { "status", entry.status }, { "retry_helps", entry.retryHelps }, { "explanation", entry.explanation } };
    const auto text = std::string(entry.name) + " (HTTP " + std::to_string(entry.status) + ", a later retry "
        + (entry.retryHelps ? "can help" : "does not help") + ")\n" + std::string(entry.explanation) + "\n";
    print(context, value, text);
    return ExitCode::Done;
}

auto collect(const Context &context) -> ExitCode
{
    constexpr std::uint32_t LookInterval = 600;
    auto session = Session(context.invocation);
    auto removed = session.collect();
    for (auto left = context.invocation.watchSeconds; left > 0;) {
        const auto pause = std::min(left, LookInterval);
        session.wait(std::chrono::seconds(pause));
        removed += session.collect();
        left -= pause;
    }
    print(context, { { "removed", removed } }, "removed " + std::to_string(removed) + " parts\n");
    return ExitCode::Done;
}

auto dispatch(const Context &context) -> ExitCode
{
    switch (context.invocation.command) {
    case Command::Check:
        return check(context);
    case Command::Diff:
        return diff(context);
    case Command::Submit:
        return submit(context);
    case Command::Show:
        return show(context);
    case Command::Status:
        return status(context);
    case Command::Entries:
        return listEntries(context);
    case Command::Drain:
        return drain(context);
    case Command::QuarantineList:
        return listQuarantine(context);
    case Command::QuarantineRelease:
        return releaseQuarantine(context);
    case Command::Explain:
        return explain(context);
    case Command::Collect:
        return collect(context);
    }
    return ExitCode::Usage;
}

} // namespace

auto run(const Invocation &invocation, std::ostream &output, std::ostream &errors) -> ExitCode
{
    try {
        return dispatch({ .invocation = invocation, .output = output, .errors = errors });
    } catch (const CommandError &error) {
        errors << "auburnspreadctl: " << error.what() << "\n";
        return error.code();
    }
}

} // namespace auburnspread::ctl
