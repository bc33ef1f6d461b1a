#include "standins/commandline.h"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace auburnspread::standins
{

namespace
{

constexpr int FirstOption = 256;

template <typename Number>
auto parseNumber(const std::string &text) -> Number
{
    Number number{};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number < Number{}) {
        throw std::invalid_argument("'" + text + "' is not a number that is not negative");
    }
    return number;
}

auto printHelp(const char *program, const std::vector<CommandLineOption> &options) -> void
{
    std::printf("usage: %s [options]\n", program);
    for (const auto &option : options) {
        std::printf("  --%s %s\n        %s\n", option.name.c_str(), option.value.c_str(), option.help.c_str());
    }
}

auto toLongOptions(const std::vector<CommandLineOption> &options) -> std::vector<::option>
{
    std::vector<::option> table;
    int code = FirstOption;
    for (const auto &option : options) {
        table.push_back({ option.name.c_str(), option.value.empty() ? no_argument : required_argument, nullptr, code });
        ++code;
    }
    table.push_back({ "help", no_argument, nullptr, 'h' });
    table.push_back({ nullptr, 0, nullptr, 0 });
    return table;
}

} // namespace

auto parseAddress(const std::string &text) -> Address
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw std::invalid_argument("'" + text + "' is not IP:PORT");
    }
    return { .ip = text.substr(0, colon), .port = parseNumber<std::uint16_t>(text.substr(colon + 1)) };
}

auto formatAddress(const Address &address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto parseCount(const std::string &text) -> std::size_t
{
    return parseNumber<std::size_t>(text);
}

auto parseDecimal(const std::string &text) -> double
{
    return parseNumber<double>(text);
}

auto parseMilliseconds(const std::string &text) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(parseDecimal(text)));
}

auto applyCommandLine(int argc, char **argv, const std::vector<CommandLineOption> &options) -> bool
{
    const auto table = toLongOptions(options);
    int code = 0;
    while ((code = ::getopt_long(argc, argv, "", table.data(), nullptr)) != -1) {
        if (code == 'h') {
            printHelp(argv[0], options);
            return false;
        }
        if (code < FirstOption) {
            throw std::invalid_argument("unknown option, see --help");
        }
        const auto &option = options.at(static_cast<std::size_t>(code - FirstOption));
        try {
            option.apply(optarg != nullptr ? optarg : "");
        } catch (const std::invalid_argument &error) {
            throw std::invalid_argument("--" + option.name + ": " + error.what());
        }
    }
    if (optind < argc) {
        throw std::invalid_argument(std::string("unexpected argument ") + argv[optind]);
    }
    return true;
}

} // namespace auburnspread::standins
