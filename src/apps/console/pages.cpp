#include "apps/console/pages.h"

#include "apps/console/html.h"
#include "apps/console/itemform.h"

#include <algorithm>
#include <charconv>

namespace auburnspread::console
{

namespace
{

using administration::EntryAnswer;
using configuration::Change;
using configuration::Problem;
using configuration::Section;
using configuration::SubmissionOutcome;
using nlohmann::json;

auto sectionTitle(Section section) -> std::string_view
{
    switch (section) {
    case Section::FailureDomains:
        return "Failure domains";
    case Section::Models:
        return "Models";
    case Section::Classes:
        return "Classes and tiers";
    case Section::Workspaces:
        return "Workspaces";
    case Section::BackendServers:
        return "Backend servers";
    case Section::Services:
        return "Services";
    case Section::Limits:
        return "Limits";
    case Section::Name:
        return "Deployment name";
    }
    return "?";
}

auto button(const std::string &action, const std::string &text) -> std::string
{
    return "<button name=\"action\" value=\"" + escapeHtml(action) + "\">" + escapeHtml(text) + "</button>";
}

auto hidden(const std::string &name, const std::string &value) -> std::string
{
    return "<input type=\"hidden\" name=\"" + name + "\" value=\"" + escapeHtml(value) + "\">";
}

auto sectionButtons() -> std::string
{
    auto html = std::string("<nav aria-label=\"Sections\">");
    for (const auto section : configuration::allSections()) {
        html += button("section:" + std::string(sectionKey(section)), std::string(sectionTitle(section)));
    }
    return html + button("review", "Review") + "</nav>";
}

/// A form that carries the draft. Its first submit button takes the Enter key, so \p body stands before the sections.
auto draftForm(const FormContext &context, const std::string &body) -> std::string
{
    const auto &draft = context.draft;
    auto html = std::string("<form method=\"post\" action=\"/draft\">") + hidden("form_token", context.formToken) + hidden("draft", serializeDraft(draft));
    html += body;
    html += sectionButtons();
    html += "<p>Draft on version " + std::to_string(draft.editedVersion) + " with " + std::to_string(draft.edits.size()) + " edits. "
        + button("discard", "Discard the draft") + "</p></form>";
    return html;
}

auto problemList(const std::vector<Problem> &problems) -> std::string
{
    constexpr std::size_t Shown = 200;
    auto html = std::string("<ul>");
    for (std::size_t index = 0; index < std::min(problems.size(), Shown); ++index) {
        const auto &problem = problems[index];
        html += "<li class=\"error\"><code>" + escapeHtml(problem.path) + "</code> " + escapeHtml(problem.text) + "</li>";
    }
    html += "</ul>";
    return problems.size() > Shown ? html + "<p>and " + std::to_string(problems.size() - Shown) + " more</p>" : html;
}

auto changeTable(const std::string &caption, const std::vector<Change> &changes) -> std::string
{
    constexpr std::size_t Shown = 500;
    auto html
        = "<table><caption>" + escapeHtml(caption) + "</caption><tr><th scope=\"col\">What</th><th scope=\"col\">Before</th><th scope=\"col\">After</th></tr>";
    for (std::size_t index = 0; index < std::min(changes.size(), Shown); ++index) {
        const auto &change = changes[index];
        html += "<tr><th scope=\"row\"><code>" + escapeHtml(change.path) + "</code></th><td>" + escapeHtml(change.oldValue) + "</td><td>"
            + escapeHtml(change.newValue) + "</td></tr>";
    }
    html += "</table>";
    return changes.size() > Shown ? html + "<p>and " + std::to_string(changes.size() - Shown) + " more</p>" : html;
}

auto valueAt(const json &object, const char *key) -> json
{
    return object.is_object() && object.contains(key) ? object[key] : json(nullptr);
}

auto textOf(const json &value) -> std::string
{
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto inForceCount(std::uint64_t version, const administration::EntryAnswers &entries) -> std::size_t
{
    const auto holds = [version](const EntryAnswer &answer) { return adoptedVersion(answer) >= version; };
    return static_cast<std::size_t>(std::ranges::count_if(entries.answers, holds));
}

auto entryTable(const administration::EntryAnswers &entries) -> std::string
{
    auto html = std::string("<table><caption>Entries</caption><tr><th scope=\"col\">Entry</th><th scope=\"col\">Failure domain</th>"
                            "<th scope=\"col\">Ready</th><th scope=\"col\">Draining</th><th scope=\"col\">Version</th><th scope=\"col\">Error</th></tr>");
    for (const auto &answer : entries.answers) {
        html += "<tr><th scope=\"row\">" + escapeHtml(answer.entry) + "</th><td>" + escapeHtml(textOf(valueAt(answer.body, "failure_domain"))) + "</td><td>"
            + escapeHtml(textOf(valueAt(answer.body, "ready"))) + "</td><td>" + escapeHtml(textOf(valueAt(answer.body, "draining"))) + "</td><td>"
            + std::to_string(adoptedVersion(answer)) + "</td><td>" + escapeHtml(answer.error) + "</td></tr>";
    }
    return html + "</table>";
}

/// One object that an entry reports.
struct ReportRow {
    std::string entry;
    json object;
};

auto reportRows(const char *key, const administration::EntryAnswers &entries) -> std::vector<ReportRow>
{
    auto rows = std::vector<ReportRow>();
    for (const auto &answer : entries.answers) {
        const auto list = valueAt(answer.body, key);
        for (const auto &item : list.is_array() ? list : json::array()) {
            rows.push_back({ .entry = answer.entry, .object = item.is_object() ? item : json{ { key, item } } });
        }
    }
    return rows;
}

auto columnsOf(const std::vector<ReportRow> &rows) -> std::vector<std::string>
{
    auto columns = std::vector<std::string>();
    for (const auto &row : rows) {
        for (const auto &[name, value] : row.object.items()) {
            if (std::ranges::find(columns, name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    return columns;
}

/// A table of what the entries report as lists under \p key, one row for each entry and object.
auto reportTable(const std::string &caption, const char *key, const administration::EntryAnswers &entries) -> std::string
{
    const auto rows = reportRows(key, entries);
    if (rows.empty()) {
        return "<p>" + escapeHtml(caption) + ": nothing reported.</p>";
    }
    const auto columns = columnsOf(rows);
    auto html = "<table><caption>" + escapeHtml(caption) + "</caption><tr><th scope=\"col\">Entry</th>";
    for (const auto &column : columns) {
        html += "<th scope=\"col\">" + escapeHtml(column) + "</th>";
    }
    html += "</tr>";
    for (const auto &row : rows) {
        html += "<tr><th scope=\"row\">" + escapeHtml(row.entry) + "</th>";
        for (const auto &column : columns) {
            html += "<td>" + escapeHtml(textOf(valueAt(row.object, column.c_str()))) + "</td>";
        }
        html += "</tr>";
    }
    return html + "</table>";
}

auto refusalTable(const std::map<std::string, std::uint64_t> &refusals) -> std::string
{
    auto html = std::string("<table><caption>Refusals by reason</caption><tr><th scope=\"col\">Reason</th><th scope=\"col\">Count</th></tr>");
    for (const auto &[reason, count] : refusals) {
        html += "<tr><th scope=\"row\">" + escapeHtml(reason) + "</th><td>" + std::to_string(count) + "</td></tr>";
    }
    return refusals.empty() ? "<p>Refusals by reason: none.</p>" : html + "</table>";
}

auto describeOutcome(SubmissionOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return "The document is accepted as a whole.";
    case SubmissionOutcome::Unchanged:
        return "The document in force is this one already.";
    case SubmissionOutcome::Conflict:
        return "Another submission came first. Nothing of this draft is in force.";
    case SubmissionOutcome::TooLarge:
        return "The document does not fit. Nothing of this draft is in force.";
    case SubmissionOutcome::NotDone:
        return "The platform's service does not answer. Nothing of this draft is in force. Try again later.";
    case SubmissionOutcome::Unknown:
        return "It is not known whether the document is in force. Look at the status page; submitting the same draft again is harmless.";
    }
    return "?";
}

} // namespace

auto addRefusals(std::string_view metrics, std::map<std::string, std::uint64_t> &refusals) -> void
{
    constexpr auto Prefix = std::string_view("auburnspread_refusals_total{reason=\"");
    while (!metrics.empty()) {
        auto line = metrics.substr(0, metrics.find('\n'));
        metrics.remove_prefix(std::min(line.size() + 1, metrics.size()));
        const auto valueAt = line.rfind(' ');
        if (!line.starts_with(Prefix) || valueAt == std::string_view::npos) {
            continue;
        }
        auto count = std::uint64_t{ 0 };
        std::from_chars(line.data() + valueAt + 1, line.data() + line.size(), count);
        line.remove_prefix(Prefix.size());
        if (count > 0) {
            refusals[std::string(line.substr(0, line.find('"')))] += count;
        }
    }
}

auto renderSections(const FormContext &context, std::uint64_t inForceVersion) -> std::string
{
    const auto body = "<p>Version " + std::to_string(inForceVersion) + " is in force. Choose what to edit; nothing takes effect before Submit.</p>";
    return renderPage("Configuration", draftForm(context, body));
}

auto renderSection(const FormContext &context, const SectionView &view) -> std::string
{
    const auto key = std::string(sectionKey(view.section));
    auto body = "<label for=\"filter\">Names that contain</label><input id=\"filter\" type=\"text\" name=\"filter\" value=\"" + escapeHtml(view.filter) + "\">";
    body += button("section:" + key, "Search") + button("new:" + key, "Add one");
    body += "<p>" + std::to_string(view.total) + " found" + (view.total > view.names.size() ? ", the first of them shown" : "") + ".</p><ul>";
    for (const auto &name : view.names) {
        auto action = "open:" + key + ":";
        action += name;
        body += "<li>" + button(action, name) + "</li>";
    }
    return renderPage(sectionTitle(view.section), draftForm(context, body + "</ul>"));
}

auto renderItemPage(const FormContext &context, const ItemView &view) -> std::string
{
    const auto key = std::string(sectionKey(view.section));
    auto body = std::string();
    if (view.saved) {
        body += "<p role=\"status\">Saved in the draft. It takes effect when the draft is submitted.</p>";
    }
    if (!view.problems.empty()) {
        body += "<div role=\"alert\"><p>" + std::to_string(view.problems.size()) + " problems:</p>" + problemList(view.problems) + "</div>";
    }
    body += "<div>" + renderItem(view.section, view.value, view.problems) + "</div><p class=\"actions\">"
        + button("save:" + key + ":" + view.name, "Save in the draft");
    if (isNamedList(view.section) && !view.name.empty()) {
        body += button("remove:" + key + ":" + view.name, "Remove");
    }
    const auto title = std::string(sectionTitle(view.section)) + (view.name.empty() ? "" : ": " + view.name);
    return renderPage(title, draftForm(context, body + "</p>"));
}

auto renderReview(const FormContext &context, const ReviewView &view) -> std::string
{
    auto body = std::string();
    const auto moved = view.inForceVersion != context.draft.editedVersion;
    if (moved) {
        body += "<div role=\"alert\"><p class=\"error\">Version " + std::to_string(view.inForceVersion) + " by " + escapeHtml(view.inForceAuthor)
            + " is in force by now. The draft was begun on version " + std::to_string(context.draft.editedVersion) + ".</p></div>";
        body += button("rebase:" + std::to_string(view.inForceVersion), "Move the draft onto version " + std::to_string(view.inForceVersion));
    }
    if (!view.problems.empty()) {
        body += "<div role=\"alert\"><p>The document is not valid:</p>" + problemList(view.problems) + "</div>";
    }
    body += changeTable("Changes to version " + std::to_string(view.inForceVersion), view.changes);
    if (view.problems.empty() && !moved && !view.changes.empty()) {
        body += "<p class=\"actions\">" + button("submit", "Submit") + "</p>";
    }
    return renderPage("Review", draftForm(context, body));
}

auto renderOutcome(const FormContext &context, const configuration::SubmissionFinished &result) -> std::string
{
    auto body = "<div role=\"alert\"><p>" + std::string(describeOutcome(result.outcome)) + " " + escapeHtml(result.text) + "</p></div>";
    if (result.outcome != SubmissionOutcome::Conflict) {
        return renderPage("Submission", draftForm(context, body + button("review", "Review again")));
    }
    body += "<p>In force is version " + std::to_string(result.version) + " by " + escapeHtml(result.otherAuthor) + ".</p>";
    body += changeTable("Changed by " + result.otherAuthor, result.theirs) + changeTable("Changes of this draft", result.ours);
    body += button("rebase:" + std::to_string(result.version), "Keep the draft and move it onto version " + std::to_string(result.version));
    return renderPage("Submission", draftForm(context, body));
}

auto renderProgress(std::uint64_t version, const administration::EntryAnswers &entries) -> std::string
{
    const auto count = inForceCount(version, entries);
    const auto everywhere = !entries.answers.empty() && count == entries.answers.size();
    const auto body = "<p role=\"status\">Version " + std::to_string(version) + " is accepted and in force on " + std::to_string(count) + " of "
        + std::to_string(entries.answers.size()) + " entries.</p>" + entryTable(entries);
    return renderPage("Submitted", body, everywhere ? "" : "<meta http-equiv=\"refresh\" content=\"1\">");
}

auto renderStatus(const StatusView &view) -> std::string
{
    auto body = std::string();
    if (view.version) {
        body += "<p>Version " + std::to_string(*view.version) + (view.author.empty() ? "" : " by " + escapeHtml(view.author)) + " is in force on "
            + std::to_string(inForceCount(*view.version, view.entries)) + " of " + std::to_string(view.entries.answers.size()) + " entries.</p>";
    } else {
        body += "<div role=\"alert\"><p class=\"error\">The platform's service does not answer: " + escapeHtml(view.platformError) + "</p></div>";
    }
    body += entryTable(view.entries);
    body += reportTable("Classes", "classes", view.entries);
    body += refusalTable(view.refusals);
    body += reportTable("Backend servers", "backends", view.entries);
    body += reportTable("Quarantined requests", "quarantined", view.entries);
    return renderPage("Status", body);
}

auto renderError(std::string_view title, std::string_view text) -> std::string
{
    return renderPage(title, "<div role=\"alert\"><p class=\"error\">" + escapeHtml(text) + "</p></div>");
}

} // namespace auburnspread::console
