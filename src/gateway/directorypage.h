/// \file
/// Answers other entries about the directory as this entry knows it.

#pragma once

#include "gateway/directorystate.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <string>

namespace auburnspread::gateway
{

/// Where an entry answers others about the directory. An entry that does not know this path, or one that another version of the
/// product answers with a document in it, is left for the next one.
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
