#include "runtime/settings/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>
#include <string_view>

using namespace auburnspread;
using settings::Kind;

namespace
{

constexpr auto Policies = std::to_array<std::string_view>({ "standard", "naive" });

constexpr auto Keys = std::to_array<settings::Key>({
    { .section = "entry", .name = "name", .explanation = "Name." },
    { .section = "entry", .name = "policy", .kind = Kind::Choice, .defaultValue = "standard", .choices = Policies, .explanation = "Policy." },
    { .section = "listen", .name = "caller", .kind = Kind::Address, .explanation = "Callers." },
    { .section = "listen", .name = "admin", .kind = Kind::Address, .defaultValue = "127.0.0.1:1", .explanation = "Admin." },
    { .section = "peers", .name = "seeds", .kind = Kind::Addresses, .defaultValue = "", .explanation = "Seeds." },
    { .section = "peers", .name = "secret", .kind = Kind::Secret, .range = { .least = 16 }, .explanation = "Secret." },
    { .section = "limits", .name = "read_timeout_ms", .kind = Kind::Duration, .defaultValue = "10000", .range = { 1, 60000 }, .explanation = "Timeout." },
});

constexpr auto Rules = std::to_array<settings::Rule>({
    { .section = "listen",
      .name = "admin",
      .holds = [](const settings::Settings &settings) { return settings.address("listen.admin") != settings.address("listen.caller"); },
      .expected = "an address of its own, not that of [listen] caller" },
});

constexpr settings::Schema Schema{ .keys = Keys, .rules = Rules };

constexpr std::string_view Valid = "[entry]\nname = entry-1\n[listen]\ncaller = 127.0.1.1:8080\n[peers]\n"
                                   "seeds = 127.0.1.2:8082, [::1]:8082\nsecret = 0123456789abcdef\n";

auto read(std::string_view text, std::vector<std::string> overrides = {}) -> settings::Settings
{
    return settings::readSettings(Schema, { .file = "entry.ini", .text = std::string(text), .overrides = std::move(overrides) });
}

auto errorsOf(std::string_view text, std::vector<std::string> overrides = {}) -> std::string
{
    try {
        read(text, std::move(overrides));
    } catch (const settings::InvalidSettings &invalid) {
        return invalid.what();
    }
    return "";
}

} // namespace

TEST(SettingsTests, valuesComeFromFileOverrideAndDefault)
{
    const auto settings = read(Valid, { "entry.policy=naive" });
    EXPECT_EQ(settings.text("entry.name"), "entry-1");
    EXPECT_EQ(settings.text("entry.policy"), "naive");
    EXPECT_EQ(settings.addresses("peers.seeds"), (std::vector<std::string>{ "127.0.1.2:8082", "[::1]:8082" }));
    EXPECT_EQ(settings.duration("limits.read_timeout_ms"), std::chrono::seconds(10));
    EXPECT_THROW((void)settings.text("peers.secret"), std::logic_error);
}

TEST(SettingsTests, allErrorsAreReportedAtOnceWithPlaceValueAndExpectation)
{
    const auto errors = errorsOf("[entry]\nnmae = entry-1\nno equals sign\n[listen]\ncaller = 127.0.1.1\n[limits]\nread_timeout_ms = 10s\n[peers]\n"
                                 "seeds = 127.0.1.2:8082,,\nsecret = short\n",
                                 { "entry.policy=best", "nonsense" });
    EXPECT_EQ(errors,
              "entry.ini:3: expected a comment, [section] or key = value\n"
              "--set: nonsense: expected section.key=value\n"
              "entry.ini:2: [entry] nmae = entry-1: expected a known key; the nearest is [entry] name\n"
              "entry.ini: [entry] name = : expected a text; the key is required\n"
              "--set: [entry] policy = best: expected one of standard, naive\n"
              "entry.ini:5: [listen] caller = 127.0.1.1: expected an IP number and port like 127.0.0.1:8080 or [::1]:8080\n"
              "entry.ini:9: [peers] seeds = 127.0.1.2:8082,,: expected IP numbers with ports like 127.0.0.1:8080, with commas between them\n"
              "entry.ini:10: [peers] secret = (hidden): expected a secret, a length in bytes of at least 16\n"
              "entry.ini:7: [limits] read_timeout_ms = 10s: expected a whole number of milliseconds from 1 to 60000, without a unit");
}

TEST(SettingsTests, clashesAndRepeatedKeysAreErrors)
{
    EXPECT_EQ(errorsOf(Valid, { "listen.admin=127.0.1.1:8080" }),
              "--set: [listen] admin = 127.0.1.1:8080: expected an address of its own, not that of [listen] caller");
    EXPECT_EQ(errorsOf(std::string(Valid) + "[entry]\nname = other\n"), "entry.ini:9: [entry] name = other: expected the key once; line 2 has it already");
}

TEST(SettingsTests, aMisspeltSecretIsNotPrinted)
{
    for (const auto *name : { "peers.secrt", "peer.secret", "secret.peers", "peers.token" }) {
        EXPECT_EQ(errorsOf(Valid, { std::string(name) + "=hunter2hunter2hunter2" }).find("hunter2"), std::string::npos) << name;
    }
    EXPECT_EQ(errorsOf(std::string(Valid) + "[peers]\nsecret = hunter2hunter2hunter2\n").find("hunter2"), std::string::npos);
}

RC_GTEST_PROP(SettingsTests, anyTextIsEitherReadOrReported, ())
{
    const auto piece = rc::gen::element<std::string>(
        "[", "]", "entry", "name", "=", ":", ";", "#", "\n", " ", "\r", std::string("\0", 1), "listen", "caller", "127.0.0.1:80", "\xff");
    const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
    std::string text;
    for (const auto &part : pieces) {
        text += part;
    }
    RC_ASSERT(!errorsOf(text).empty()); // [peers] secret is required and cannot be formed from the pieces
}

RC_GTEST_PROP(SettingsTests, validLinesSurviveAnyCommentBetweenThem, (const std::string &noise))
{
    std::string comment = "; ";
    for (const auto c : noise) {
        comment += (c == '\n' || c == '\0') ? ' ' : c;
    }
    std::string text;
    for (const auto c : Valid) {
        text += c;
        text += c == '\n' ? comment + "\n" : "";
    }
    RC_ASSERT(read(text).text("entry.name") == "entry-1");
}

TEST(SettingsTests, aNumberMayHaveAFractionAndIsFinite)
{
    constexpr auto Ratio = std::to_array<settings::Key>({
        { .section = "bounds", .name = "ratio", .kind = Kind::Number, .unit = "repeats", .range = { 0, 10 }, .explanation = "Ratio." },
    });
    const auto readRatio = [&](const std::string &value) {
        return settings::readSettings({ .keys = Ratio }, { .file = "entry.ini", .text = "[bounds]\nratio = " + value + "\n" }).number("bounds.ratio");
    };
    EXPECT_EQ(readRatio("0.25"), 0.25);
    EXPECT_EQ(readRatio("10"), 10);
    for (const auto *value : { "10.1", "-0.5", "inf", "nan", "1.5x", "1e999" }) {
        try {
            readRatio(value);
            ADD_FAILURE() << value;
        } catch (const settings::InvalidSettings &invalid) {
            EXPECT_STREQ(invalid.what(), ("entry.ini:2: [bounds] ratio = " + std::string(value) + ": expected a number of repeats from 0 to 10").c_str());
        }
    }
}
