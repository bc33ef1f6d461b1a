/// \file
/// Answers other entries about the directory as this entry knows it.

#pragma once

#include "gateway/directorystate.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <string>

namespace auburnspread::gateway
{

/// Where an entry answers others about the directory. The path names the form of the answer: an entry of a version with another form
/// answers 404, and the next one or the store is asked.
constexpr std::string_view DirectoryPath = "/directory/summary";

class DirectoryPage
{
public:
    /// \p state must outlive it.
    DirectoryPage(task::EventLoop &loop, const DirectoryState &state);

    /// Throws if the address can't be bound. \return the address in use
    auto listen(const std::string &address) -> std::string;

private:
    http::Server server_;
};

} // namespace auburnspread::gateway
