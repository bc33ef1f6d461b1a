#include "apps/administration/tests/surroundings.h"
#include "apps/console/console.h"
#include "apps/console/consolesettings.h"
#include "apps/console/html.h"
#include "apps/console/itemform.h"
#include "core/configuration/manifest.h"

#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace auburnspread::console
{

namespace
{

using administration::tests::Surroundings;
using configuration::Section;
using configuration::tests::makeDocument;

auto ana() -> Operator
{
    return { .name = "ana", .token = "token-of-ana-0123456789" };
}

auto ivo() -> Operator
{
    return { .name = "ivo", .token = "token-of-ivo-0123456789" };
}

auto percentEncode(const std::string &text) -> std::string
{
    auto encoded = std::ostringstream();
    for (const unsigned char character : text) {
        encoded << "%" << std::hex << std::setw(2) << std::setfill('0') << static_cast<unsigned>(character);
    }
    return encoded.str();
}

auto encodeForm(const FormData &form) -> std::string
{
    auto body = std::string();
    for (const auto &[name, value] : form) {
        body += (body.empty() ? "" : "&") + percentEncode(name) + "=" + percentEncode(value);
    }
    return body;
}

auto basicHeader(const Operator &account) -> http::Header
{
    const auto text = account.name + ":" + account.token;
    auto encoded = std::string(4 * ((text.size() + 2) / 3) + 1, '\0');
    const auto size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(encoded.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(size));
    return { .name = "Authorization", .value = "Basic " + encoded };
}

auto unescapeHtml(std::string text) -> std::string
{
    const auto replaceAll = [&text](std::string_view from, std::string_view to) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    };
    replaceAll("&quot;", "\"");
    replaceAll("&#39;", "'");
    replaceAll("&lt;", "<");
    replaceAll("&gt;", ">");
    replaceAll("&amp;", "&");
    return text;
}

/// Value of the hidden field \p name of a page.
auto hiddenField(const std::string &page, const std::string &name) -> std::string
{
    const auto begin = "name=\"" + name + "\" value=\"";
    const auto at = page.find(begin);
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + begin.size();
    return unescapeHtml(page.substr(from, page.find('"', from) - from));
}

/// The fields of a valid workspace as its form sends them.
auto workspaceForm(const std::string &name) -> FormData
{
    return { { "name", name },       { "classes", "quote" },       { "requests_per_second", "0" }, { "request_burst", "0" },
             { "token_burst", "0" }, { "tokens_per_second", "0" }, { "concurrency", "0" },         { "weight", "3" } };
}

/// A browser with one page open.
class Browser
{
public:
    Browser(Surroundings &surroundings, std::string address, Operator account)
        : surroundings_(surroundings)
        , address_(std::move(address))
        , account_(std::move(account))
    {
    }

    auto get(const std::string &path) -> http::Response
    {
        return keep(send({ .method = http::Method::Get, .address = address_, .path = path, .headers = { basicHeader(account_) } }));
    }

    /// Presses a button of the page that is open, with \p fields typed in.
    auto press(const std::string &action, FormData fields = {}) -> http::Response
    {
        fields["action"] = action;
        fields["draft"] = hiddenField(page, "draft");
        fields["form_token"] = hiddenField(page, "form_token");
        return post(fields, {});
    }

    auto post(const FormData &fields, const http::Headers &headers) -> http::Response
    {
        auto request = http::Request{ .method = http::Method::Post, .address = address_, .path = "/draft", .headers = headers, .body = encodeForm(fields) };
        request.headers.push_back(basicHeader(account_));
        request.headers.push_back({ .name = "Content-Type", .value = "application/x-www-form-urlencoded" });
        return keep(send(request));
    }

    std::string page;

private:
    auto send(const http::Request &request) -> http::Response
    {
        return administration::tests::fetch(surroundings_.loop, surroundings_.client, request);
    }

    auto keep(http::Response response) -> http::Response
    {
        page = response.body;
        return response;
    }

    Surroundings &surroundings_;
    std::string address_;
    Operator account_;
};

class ConsoleTests : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        address_ = console_.listen();
        submitFirst();
    }

    auto browserOf(const Operator &account) -> Browser
    {
        return { surroundings_, address_, account };
    }

    Surroundings surroundings_;

private:
    auto submitFirst() -> void
    {
        auto store = platform::Store(surroundings_.loop, { .address = surroundings_.platformAddress() });
        auto client = administration::ConfigurationClient(surroundings_.loop, store);
        auto isDone = false;
        client.submit({ .document = makeDocument(), .author = "ana", .nonce = "first" }, [&isDone](const auto &) { isDone = true; });
        administration::tests::runUntil(surroundings_.loop, [&isDone] { return isDone; });
    }

    Console console_{ surroundings_.loop,
                      { .listenAddress = "127.0.0.1:0", .platformAddress = surroundings_.platformAddress(), .operators = { ana(), ivo() } } };
    std::string address_;
};

auto contains(const std::string &page, const std::string &text) -> bool
{
    return page.find(text) != std::string::npos;
}

TEST_F(ConsoleTests, EditsReviewsAndSubmitsADocument)
{
    auto &entry = surroundings_.addEntry("entry-1");
    auto browser = browserOf(ana());
    browser.get("/draft");
    EXPECT_TRUE(contains(browser.press("section:workspaces").body, "workspace-2"));
    browser.press("open:workspaces:workspace-1");
    EXPECT_TRUE(contains(browser.page, "<label for=\"weight\">weight</label>"));
    EXPECT_TRUE(contains(browser.press("save:workspaces:workspace-1", workspaceForm("workspace-1")).body, "Saved in the draft"));
    EXPECT_TRUE(contains(browser.press("review").body, "/workspaces/workspace-1/weight"));
    const auto submitted = browser.press("submit");
    EXPECT_EQ(submitted.status, 303);
    const auto location = std::string(http::findHeader(submitted.headers, "Location"));
    EXPECT_EQ(location, "/submitted?version=2");
    EXPECT_TRUE(contains(browser.get(location).body, "in force on 0 of 1 entries"));
    EXPECT_TRUE(contains(browser.page, "http-equiv=\"refresh\""));
    entry.version = 2;
    EXPECT_TRUE(contains(browser.get(location).body, "in force on 1 of 1 entries"));
    EXPECT_TRUE(contains(browser.get("/").body, "shed</th><td>2</td>"));
}

// The operator types a wrong value. The error stands beside its field, what was typed stands in it, and the draft
// does not hold it.
TEST_F(ConsoleTests, ShowsErrorsBesideTheirFields)
{
    auto browser = browserOf(ana());
    browser.get("/draft");
    auto form = workspaceForm("workspace-1");
    form["weight"] = "many";
    form["classes"] = "quote, absent";
    browser.press("save:workspaces:workspace-1", form);
    EXPECT_TRUE(contains(browser.page, "value=\"many\""));
    EXPECT_TRUE(contains(browser.page, "id=\"weight-help\"><strong class=\"error\">expected a whole number"));
    EXPECT_TRUE(contains(browser.page, "id=\"classes-help\"><strong class=\"error\">no class is named &quot;absent&quot;"));
    EXPECT_TRUE(contains(browser.press("review").body, "with 0 edits"));
    EXPECT_FALSE(contains(browser.page, "value=\"submit\""));
}

TEST_F(ConsoleTests, ANewItemWithNestedRowsAndARemovedOne)
{
    auto browser = browserOf(ana());
    browser.get("/draft");
    const auto server = FormData{ { "name", "engine-2" },      { "address", "127.0.2.2:9000" }, { "failure_domain", "fd-a" }, { "models.0.model", "quote-7b" },
                                  { "models.0.version", "1" }, { "models.0.adapters", "" },     { "models.1.model", "" },     { "models.1.version", "" },
                                  { "models.1.adapters", "" }, { "concurrency", "4" } };
    EXPECT_TRUE(contains(browser.press("save:backend_servers:", server).body, "Saved in the draft"));
    browser.press("remove:backend_servers:engine-1");
    EXPECT_TRUE(contains(browser.press("review").body, "/backend_servers/engine-1"));
    EXPECT_EQ(browser.press("submit").status, 303);
}

// Both operators edit version 1. Ana submits first. Ivo sees both changes, and his draft is kept: moved onto the
// version in force, reviewed again and submitted, it takes effect beside Ana's change.
TEST_F(ConsoleTests, AConflictShowsBothChangesAndKeepsTheDraft)
{
    auto first = browserOf(ana());
    auto second = browserOf(ivo());
    first.get("/draft");
    second.get("/draft");
    first.press("save:workspaces:workspace-0", workspaceForm("workspace-0"));
    second.press("save:workspaces:workspace-1", workspaceForm("workspace-1"));
    EXPECT_EQ(first.press("submit").status, 303);
    second.press("submit");
    EXPECT_TRUE(contains(second.page, "Nothing of this draft is in force"));
    EXPECT_TRUE(contains(second.page, "/workspaces/workspace-0/weight"));
    EXPECT_TRUE(contains(second.page, "/workspaces/workspace-1/weight"));
    second.press("rebase:2");
    EXPECT_FALSE(contains(second.page, "/workspaces/workspace-0/weight"));
    EXPECT_EQ(http::findHeader(second.press("submit").headers, "Location"), "/submitted?version=3");
}

// The platform's service goes down between review and submission. Nothing may look as if it took effect.
TEST_F(ConsoleTests, SaysThatNothingChangedDuringAnOutage)
{
    auto browser = browserOf(ana());
    browser.get("/draft");
    browser.press("save:workspaces:workspace-0", workspaceForm("workspace-0"));
    surroundings_.control({ { "down", true } });
    const auto answer = browser.press("submit");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(contains(answer.body, "nothing was changed"));
}

TEST_F(ConsoleTests, RefusesStrangersAndFormsOfOtherSites)
{
    EXPECT_EQ(browserOf({ .name = "ana", .token = ivo().token }).get("/").status, 401);
    EXPECT_EQ(browserOf({ .name = "ana", .token = "" }).get("/draft").status, 401);
    auto browser = browserOf(ana());
    browser.get("/draft");
    const auto draft = hiddenField(browser.page, "draft");
    const auto token = hiddenField(browser.page, "form_token");
    EXPECT_EQ(browser.post({ { "draft", draft }, { "action", "submit" } }, {}).status, 403);
    EXPECT_EQ(browser.post({ { "draft", draft }, { "form_token", makeFormToken(ivo()) } }, {}).status, 403);
    const auto foreign = http::Header{ .name = "Origin", .value = "http://elsewhere.example" };
    EXPECT_EQ(browser.post({ { "draft", draft }, { "form_token", token } }, { foreign }).status, 403);
    EXPECT_EQ(browser.post({ { "draft", "{}" }, { "form_token", token } }, {}).status, 400);
    EXPECT_EQ(browser.post({ { "draft", draft }, { "form_token", token } }, {}).status, 200);
}

// An operator pastes markup into a field. It must come back as text, or it would run in the next operator's browser.
TEST_F(ConsoleTests, EscapesWhatOperatorsTyped)
{
    auto browser = browserOf(ana());
    browser.get("/draft");
    auto form = workspaceForm("\"><script>alert(1)</script>");
    form["classes"] = "<b>";
    browser.press("save:workspaces:", form);
    EXPECT_FALSE(contains(browser.page, "<script"));
    EXPECT_FALSE(contains(browser.page, "<b>"));
    EXPECT_TRUE(contains(browser.page, "&lt;script&gt;"));
    browser.press("section:workspaces", { { "filter", "'\"><i>" } });
    EXPECT_FALSE(contains(browser.page, "<i>"));
}

RC_GTEST_PROP(Html, EscapedTextHasNoMarkupAndIsNotChanged, (const std::string &text))
{
    const auto escaped = escapeHtml(text);
    RC_ASSERT(escaped.find_first_of("<>\"'") == std::string::npos);
    RC_ASSERT(unescapeHtml(escaped) == text);
}

RC_GTEST_PROP(Forms, GiveBackWhatWasSent, (const FormData &form))
{
    RC_ASSERT(parseForm(encodeForm(form)) == form);
}

RC_GTEST_PROP(Forms, ArbitraryBytesAreReadOrRefused, (const std::string &body))
{
    parseForm(body);
    parseDraft(body);
}

// Every item of both kinds of form must survive being shown and sent back unchanged, else saving a page without any
// edit would change the document.
TEST(ItemForm, SendsBackWhatItShows)
{
    const auto document = makeDocument();
    for (const auto section : { Section::Classes, Section::Workspaces, Section::Models, Section::BackendServers, Section::Limits }) {
        const auto names = itemNames(document, section);
        const auto name = names.empty() ? std::string() : names.front();
        const auto value = itemValue(document, section, name);
        const auto page = renderItem(section, value, {});
        auto form = FormData();
        for (auto at = page.find("<input id=\""); at != std::string::npos; at = page.find("<input id=\"", at + 1)) {
            const auto input = page.substr(at, page.find('>', at) - at);
            const auto isCheckbox = contains(input, "checkbox");
            const auto nameAt = input.find("name=\"") + 6;
            const auto valueAt = input.find("value=\"") + 7;
            if (!isCheckbox || contains(input, " checked")) {
                form[input.substr(nameAt, input.find('"', nameAt) - nameAt)] = unescapeHtml(input.substr(valueAt, input.find('"', valueAt) - valueAt));
            }
        }
        EXPECT_EQ(nlohmann::json::parse(readItem(section, form)), nlohmann::json::parse(value));
    }
}

auto readFile(const std::string &path) -> std::string
{
    auto stream = std::ifstream(path);
    EXPECT_TRUE(stream.is_open()) << path;
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

TEST(ConsoleSettings, ThoseOfBothDeploymentsAreValid)
{
    for (const auto *const name : { "highveld", "smetnja" }) {
        const auto path = std::string(AUBURNSPREAD_SOURCE_DIR "/deployments/") + name + "/console.ini";
        const auto settings = settings::readSettings(consoleSchema(), { .file = path, .text = readFile(path), .overrides = {} });
        EXPECT_EQ(readConsoleSettings(settings).options.operators.size(), 1U);
    }
}

TEST(ConsoleSettings, StandInTheOperatorsPage)
{
    const auto page = readFile(AUBURNSPREAD_SOURCE_DIR "/docs/CONFIGURATION.md");
    for (const auto &key : consoleSchema().keys) {
        const auto defaultValue = key.defaultValue ? "`" + std::string(*key.defaultValue) + "`" : std::string("required");
        const auto row = "| `" + std::string(key.section) + "." + std::string(key.name) + "` | " + std::string(settings::kindName(key.kind)) + " | "
            + (defaultValue == "``" ? "empty" : defaultValue) + " | " + std::string(key.explanation) + " |";
        EXPECT_TRUE(contains(page, row)) << row;
    }
}

TEST(Operators, NeedNamesAndLongTokens)
{
    EXPECT_EQ(parseOperators("ana:0123456789abcdef, ivo:fedcba9876543210").value().size(), 2U);
    for (const auto *const text : { "ana", "ana:short", ":0123456789abcdef", "ana:0123456789abcdef,ana:0123456789abcdef" }) {
        EXPECT_FALSE(parseOperators(text).has_value()) << text;
    }
}

} // namespace

} // namespace auburnspread::console
