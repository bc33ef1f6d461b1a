/// \file
/// HTTP endpoint from which other entries query this entry's copy of the directory.

#pragma once

#include "gateway/directorystate.h"
#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"

#include <string>

namespace auburnspread::gateway
{

/// Path of directory queries. It also identifies the response format: an entry whose version uses another format responds 404, and the
/// querying entry turns to the next reader or to the store.
constexpr std::string_view DirectoryPath = "/directory/overview";

class DirectoryPage
{
public:
    /// \p state must outlive the page. \p account counts what is held for other entries; without one the page has its own.
    DirectoryPage(task::EventLoop &loop, const DirectoryState &state, memory::Account *account = nullptr);

    /// Throws if the address cannot be bound. \return the bound address
    auto listen(const std::string &address) -> std::string;

private:
    http::Server server_;
};

} // namespace auburnspread::gateway
