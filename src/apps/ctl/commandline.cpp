#include "apps/ctl/commandline.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <getopt.h>

namespace auburnspread::ctl
{

namespace
{

constexpr std::string_view HelpText = R"(usage: auburnspreadctl [options] COMMAND

  check FILE                 name every fault of a document; - reads standard input
  diff FILE                  differences between the document in force and FILE
  submit FILE                put FILE in force; give the edited version by --edited
  show                       the document in force
  status                     the version in force, on which entries, and their state
  entries                    the entries and how they are reached
  drain ENTRY|BACKEND        no new work for an entry, or for a backend server from any entry
  quarantine list            requests withheld because they crashed backend servers
  quarantine release HEX     let a quarantined request run again
  explain REASON             what a refusal reason means and what to do
  collect                    remove parts of old documents; those unnamed for an hour while it runs (--for)

options:
  --platform IP:PORT         the platform's service (default 127.0.0.10:8500, or AUBURNSPREAD_PLATFORM)
  --entries IP:PORT,...      admin addresses to ask while the platform's service is out
  --edited VERSION           submit: the version that FILE was edited from (default: there is none yet)
  --author NAME              submit: who submits (default: USER)
  --for SECONDS              collect: keep looking for this long (default 0: one look)
  --json                     JSON instead of a table
  --help, --version
The bearer token of the entries' admin side is read from AUBURNSPREAD_ADMIN_TOKEN.

exit codes:
  0  done; diff: no difference; status: in force on every entry
  1  check: faults; diff: differences; status: not in force on every entry; explain: no such reason
  2  the command line or the file is wrong; nothing was done
  3  the platform's service or the entry does not answer; nothing changed
  4  not known whether a write took effect; look at status before trying again
  5  another submission came first; nothing changed
  6  some entries did not do what was asked
)";

enum Option : int {
    PlatformOption = 256,
    EntriesOption,
    EditedOption,
    AuthorOption,
    ForOption,
    JsonOption,
    HelpOption,
    VersionOption,
};

constexpr auto LongOptions = std::to_array<option>({
    { "platform", required_argument, nullptr, PlatformOption },
    { "entries", required_argument, nullptr, EntriesOption },
    { "edited", required_argument, nullptr, EditedOption },
    { "author", required_argument, nullptr, AuthorOption },
    { "for", required_argument, nullptr, ForOption },
    { "json", no_argument, nullptr, JsonOption },
    { "help", no_argument, nullptr, HelpOption },
    { "version", no_argument, nullptr, VersionOption },
    { nullptr, 0, nullptr, 0 },
});

/// A command as typed and how many arguments follow it.
struct CommandForm {
    Command command;
    std::string_view first;
    std::string_view second;
    bool hasArgument;
};

constexpr auto CommandForms = std::to_array<CommandForm>({
    { Command::Check, "check", "", true },
    { Command::Diff, "diff", "", true },
    { Command::Submit, "submit", "", true },
    { Command::Show, "show", "", false },
    { Command::Status, "status", "", false },
    { Command::Entries, "entries", "", false },
    { Command::Drain, "drain", "", true },
    { Command::QuarantineList, "quarantine", "list", false },
    { Command::QuarantineRelease, "quarantine", "release", true },
    { Command::Explain, "explain", "", true },
    { Command::Collect, "collect", "", false },
});

auto usageError(const std::string &text) -> Exit
{
    return { .code = ExitCode::Usage, .output = "auburnspreadctl: " + text + "; see --help\n" };
}

auto splitList(std::string_view text) -> std::vector<std::string>
{
    auto items = std::vector<std::string>();
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(item.size() + 1, text.size()));
        items.emplace_back(item);
    }
    return items;
}

template <typename Number>
auto readNumber(std::string_view text) -> std::optional<Number>
{
    auto number = Number{ 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

auto environmentOr(const char *name, const std::string &otherwise) -> std::string
{
    const auto *const value = std::getenv(name);
    return value == nullptr ? otherwise : value;
}

/// What is wrong with the option; nothing: it was taken.
auto applyOption(Invocation &invocation, int option, const char *argument) -> std::optional<Exit>
{
    switch (option) {
    case PlatformOption:
        invocation.platformAddress = argument;
        return std::nullopt;
    case EntriesOption:
        invocation.entryAddresses = splitList(argument);
        return std::nullopt;
    case EditedOption:
        invocation.editedVersion = readNumber<std::uint64_t>(argument);
        return invocation.editedVersion ? std::nullopt : std::optional(usageError("--edited expects a version, found " + std::string(argument)));
    case AuthorOption:
        invocation.author = argument;
        return std::nullopt;
    case ForOption: {
        const auto seconds = readNumber<std::uint32_t>(argument);
        invocation.watchSeconds = seconds.value_or(0);
        return seconds ? std::nullopt : std::optional(usageError("--for expects seconds, found " + std::string(argument)));
    }
    case JsonOption:
        invocation.json = true;
        return std::nullopt;
    case HelpOption:
        return Exit{ .code = ExitCode::Done, .output = std::string(HelpText) };
    case VersionOption:
        return Exit{ .code = ExitCode::Done, .output = "auburnspreadctl " AUBURNSPREAD_VERSION "\n" };
    default:
        return usageError("unknown option or missing argument");
    }
}

auto readCommand(Invocation &invocation, const std::vector<std::string> &words) -> std::optional<Exit>
{
    for (const auto &form : CommandForms) {
        const auto named = std::size_t{ form.second.empty() ? 1U : 2U };
        const auto isThis = words.size() >= named && words[0] == form.first && (form.second.empty() || words[1] == form.second);
        if (!isThis) {
            continue;
        }
        if (words.size() != named + (form.hasArgument ? 1 : 0)) {
            return usageError(words[0] + (form.hasArgument ? " expects one argument" : " expects no argument"));
        }
        invocation.command = form.command;
        invocation.argument = form.hasArgument ? words.back() : std::string();
        return std::nullopt;
    }
    return usageError(words.empty() ? "no command" : "unknown command " + words[0]);
}

} // namespace

auto parseCommandLine(int argc, char **argv) -> std::variant<Invocation, Exit>
{
    auto invocation = Invocation{ .platformAddress = environmentOr("AUBURNSPREAD_PLATFORM", "127.0.0.10:8500"),
                                  .token = environmentOr("AUBURNSPREAD_ADMIN_TOKEN", ""),
                                  .author = environmentOr("USER", "unknown") };
    optind = 0;
    opterr = 0;
    while (true) {
        const auto option = getopt_long(argc, argv, "", LongOptions.data(), nullptr);
        if (option == -1) {
            break;
        }
        if (auto exit = applyOption(invocation, option, optarg)) {
            return *std::move(exit);
        }
    }
    const auto words = std::vector<std::string>(argv + optind, argv + argc);
    if (auto exit = readCommand(invocation, words)) {
        return *std::move(exit);
    }
    return invocation;
}

} // namespace auburnspread::ctl
