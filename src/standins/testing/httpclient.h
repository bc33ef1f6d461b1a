/// \file
/// An HTTP client for tests: one connection a call, on the test's event loop.

#pragma once

#include "standins/httpserver.h"

#include <map>
#include <memory>
#include <string>

namespace auburnspread::standins
{

struct TestRequest {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers = {};
    std::string body = {};
    std::string source = "127.0.0.1"; ///< IP address the connection comes from
};

/// A call under way, and what of its answer has arrived so far.
class TestCall
{
public:
    TestCall(task::EventLoop &loop, const Address &peer, const TestRequest &request);
    ~TestCall();
    TestCall(const TestCall &) = delete;
    auto operator=(const TestCall &) -> TestCall & = delete;

    /// Closes the connection.
    auto cancel() -> void;

    [[nodiscard]] auto isDone() const -> bool;
    /// The connection ended before the answer did.
    [[nodiscard]] auto isBroken() const -> bool;
    [[nodiscard]] auto status() const -> int;
    [[nodiscard]] auto header(const std::string &name) const -> std::string;
    [[nodiscard]] auto body() const -> const std::string &;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// Makes a call and waits for its end, within runUntil()'s bound.
auto callAndWait(task::EventLoop &loop, const Address &peer, const TestRequest &request) -> std::unique_ptr<TestCall>;

/// Sends a control message and waits for its answer.
auto sendControl(task::EventLoop &loop, const Address &control, const nlohmann::json &message) -> void;

} // namespace auburnspread::standins
