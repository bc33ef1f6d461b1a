/// \file
/// Fetches a model's weights from the platform's rate-limited store.

#pragma once

#include "runtime/task/eventloop.h"
#include "standins/commandline.h"

#include <functional>
#include <memory>
#include <string>

struct evhttp_connection;

namespace auburnspread::standins
{

class WeightsClient
{
public:
    WeightsClient(task::EventLoop &loop, Address platform);

    /// Fetches, again and again after a pause if the store fails, until \p stillWanted says no or \p loaded was called.
    auto fetch(const std::string &model, const std::string &version, std::function<bool()> stillWanted, std::function<void()> loaded) -> void;

private:
    struct Fetch;
    task::EventLoop &loop_;
    Address platform_;

    static auto begin(const std::shared_ptr<Fetch> &fetch) -> void;
    static auto end(const std::shared_ptr<Fetch> &fetch, bool succeeded) -> void;
};

} // namespace auburnspread::standins
