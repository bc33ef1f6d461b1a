/// \file
/// A platform's service and entries in the test's own process and event loop.

#pragma once

#include "core/configuration/tests/documents.h"
#include "runtime/task/eventloop.h"
#include "standins/platform/platformserver.h"
#include "wire/http/client.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::administration::tests
{

/// Runs the loop until \p isDone; a test fails that waits in vain.
inline auto runUntil(task::EventLoop &loop, const std::function<bool()> &isDone) -> void
{
    EXPECT_TRUE(http::tests::runUntil(loop, isDone, std::chrono::seconds(30)));
}

inline auto fetch(task::EventLoop &loop, http::Client &client, const http::Request &request) -> http::Response
{
    const auto result = http::tests::fetch(loop, client, request);
    if (const auto *const error = std::get_if<http::Error>(&result)) {
        ADD_FAILURE() << error->text;
        return {};
    }
    return std::get<http::Response>(result);
}

/// An entry's admin side that answers `/v1/status` with a version and counts changes asked of it.
struct FakeEntry {
    FakeEntry(task::EventLoop &loop, const std::string &entryName)
        : name(entryName)
        , server(loop)
    {
        server.route("/", [this](const http::IncomingRequest &request, const http::Replier &replier) { answer(request, replier); });
        address = server.listen("127.0.0.1:0");
    }

    auto answer(const http::IncomingRequest &request, const http::Replier &replier) -> void
    {
        if (request.path == "/metrics") {
            replier.reply(200, "text/plain", "# TYPE auburnspread_refusals_total counter\nauburnspread_refusals_total{reason=\"shed\"} 2\n");
            return;
        }
        if (request.path != "/v1/status") {
            changes.push_back(request.path);
        }
        replier.replyJson(200,
                          { { "entry", name },
                            { "failure_domain", "fd-a" },
                            { "ready", true },
                            { "draining", false },
                            { "configuration", { { "version", version }, { "digest", "" } } },
                            { "quarantined", quarantined } });
    }

    std::string name;
    std::string address;
    std::uint64_t version = 0;
    std::vector<std::string> changes;
    nlohmann::json quarantined = nlohmann::json::array();
    http::Server server;
};

class Surroundings
{
public:
    Surroundings()
        : platform_(loop, {})
        , client(loop)
    {
    }

    [[nodiscard]] auto platformAddress() const -> std::string
    {
        return textOf(platform_.server().address());
    }

    /// Switches a fault of the platform's service.
    auto control(const nlohmann::json &message) -> void
    {
        const auto request
            = http::Request{ .method = http::Method::Post, .address = textOf(platform_.control().address()), .path = "/control", .body = message.dump() };
        EXPECT_EQ(fetch(loop, client, request).status, 200);
    }

    auto addEntry(const std::string &name) -> FakeEntry &
    {
        auto &entry = *entries_.emplace_back(std::make_unique<FakeEntry>(loop, name));
        const auto registration = nlohmann::json{ { "entry", name }, { "admin_address", entry.address }, { "failure_domain", "fd-a" } };
        const auto request = http::Request{
            .method = http::Method::Put, .address = platformAddress(), .path = "/v1/kv/auburnspread/entries/" + name, .body = registration.dump()
        };
        EXPECT_EQ(fetch(loop, client, request).status, 200);
        return entry;
    }

    task::EventLoop loop;

private:
    static auto textOf(const standins::Address &address) -> std::string
    {
        return address.ip + ":" + std::to_string(address.port);
    }

    standins::PlatformServer platform_;
    std::vector<std::unique_ptr<FakeEntry>> entries_;

public:
    http::Client client;
};

} // namespace auburnspread::administration::tests
