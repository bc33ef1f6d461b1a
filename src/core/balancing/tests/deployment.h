/// \file
/// Documents and queries that the balancing tests share.

#pragma once

#include "core/balancing/balancing.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::balancing::tests
{

inline constexpr TimePoint Start{ std::chrono::hours(1) };
inline constexpr Query Quote{ .model = "quote-7b", .version = "1" };

struct DeploymentOptions {
    std::uint32_t servers = 18;
    std::uint32_t concurrency = 8;
    std::uint32_t failureDomains = 3;
};

inline auto serverName(std::uint32_t number) -> std::string
{
    std::string digits = std::to_string(number);
    return "gpu-" + std::string(4 - digits.size(), '0') + digits;
}

/// Engines that all serve quote-7b in version 1.
inline auto makeDocument(const DeploymentOptions &options) -> configuration::Document
{
    configuration::Document document;
    for (std::uint32_t number = 0; number < options.servers; ++number) {
        document.backendServers.push_back({ .name = serverName(number),
                                            .address = "10.0.0." + std::to_string(number) + ":8000",
                                            .failureDomain = "domain-" + std::to_string(number % options.failureDomains),
                                            .models = { { .model = "quote-7b", .version = "1", .adapters = { "tile" } } },
                                            .concurrency = options.concurrency });
    }
    return document;
}

inline auto makeBalancing(const DeploymentOptions &options, std::string entry = "entry-0") -> StatePointer
{
    auto state = makeState({ .entry = std::move(entry), .failureDomain = "domain-0", .seed = 7 });
    adopt(*state, makeDocument(options), Start);
    return state;
}

inline auto entryName(std::size_t number) -> std::string
{
    return "entry-" + std::to_string(number);
}

inline auto entryNames(std::size_t count) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number) {
        names.push_back(entryName(number));
    }
    return names;
}

} // namespace auburnspread::balancing::tests
