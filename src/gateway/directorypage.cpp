#include "gateway/directorypage.h"

#include "gateway/clock.h"
#include "gateway/directoryfollower.h"
#include "gateway/documentfetcher.h"

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;
constexpr auto CborType = "application/cbor";
constexpr auto BytesType = "application/octet-stream";

/// 330 entries may query the same one, each over two connections: one for directory queries, one for the parts of a document.
constexpr http::ServerOptions PageOptions{ .bodyBytes = 1024, .connections = 1024 };

} // namespace

DirectoryPage::DirectoryPage(task::EventLoop &loop, const DirectoryState &state, memory::Account *account)
    : server_(loop, PageOptions, account)
{
    server_.route(std::string(DirectoryPath), [&state](const http::IncomingRequest &request, const http::Replier &replier) {
        replier.reply(OkStatus, CborType, encodeAnswer(makeAnswer(state, parseDirectoryQuery(request.query), now())));
    });
    server_.route(std::string(DocumentPath), [&state](const http::IncomingRequest &request, const http::Replier &replier) {
        const auto partQuery = parsePartQuery(request.query);
        const auto part = readPart(state.configurations, partQuery.tag, partQuery.from);
        replier.reply(part ? OkStatus : NotFoundStatus, BytesType, part.value_or(std::string_view()));
    });
}

auto DirectoryPage::listen(const std::string &address) -> std::string
{
    return server_.listen(address);
}

} // namespace auburnspread::gateway
