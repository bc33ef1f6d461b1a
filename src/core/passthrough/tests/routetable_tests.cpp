#include "core/passthrough/routetable.h"

#include <gtest/gtest.h>

using namespace auburnspread::passthrough;

namespace
{

auto makeTable() -> RouteTable
{
    Configuration configuration;
    for (const auto *prefix : { "/", "/quotes/", "/quotes/large/" }) {
        configuration.routes.push_back({ .name = prefix, .host = "Roofs.example", .prefix = prefix });
    }
    configuration.workspaces = { { .name = "roofers", .keys = { "one", "two" } } };
    return RouteTable(configuration);
}

auto nameOf(const Route *route) -> std::string
{
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST(RouteTableTests, theLongestPrefixOfTheHostWins)
{
    const auto table = makeTable();
    EXPECT_EQ(nameOf(table.findRoute("roofs.example", "/quotes/large/7")), "/quotes/large/");
    EXPECT_EQ(nameOf(table.findRoute("roofs.example:8740", "/quotes/7?large=/quotes/large/")), "/quotes/");
    EXPECT_EQ(nameOf(table.findRoute("roofs.example", "/quotes")), "/");
    EXPECT_EQ(nameOf(table.findRoute("other.example", "/quotes/7")), "none");
}

TEST(RouteTableTests, everyKeyOfAWorkspaceFindsIt)
{
    const auto table = makeTable();
    ASSERT_NE(table.findWorkspace("two"), nullptr);
    EXPECT_EQ(table.findWorkspace("two")->name, "roofers");
    EXPECT_EQ(table.findWorkspace(""), nullptr);
}
