/// \file
/// Documents for tests.

#pragma once

#include "core/configuration/document.h"

#include <string>

namespace auburnspread::configuration::tests
{

/// A valid document with \p workspaces workspaces.
inline auto makeDocument(int workspaces = 3) -> Document
{
    auto document = Document{ .name = "small" };
    document.failureDomains.push_back({ .name = "fd-a", .region = "north" });
    document.models.push_back({ .name = "quote-7b", .versions = { "1" } });
    document.classes.push_back({ .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } } });
    for (auto index = 0; index < workspaces; ++index) {
        document.workspaces.push_back({ .name = "workspace-" + std::to_string(index), .classes = { "quote" } });
    }
    document.backendServers.push_back(
        { .name = "engine-1", .address = "127.0.2.1:9000", .failureDomain = "fd-a", .models = { { .model = "quote-7b", .version = "1" } } });
    return document;
}

} // namespace auburnspread::configuration::tests
