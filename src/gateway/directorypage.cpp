#include "gateway/directorypage.h"

#include "gateway/clock.h"
#include "gateway/directoryfollower.h"

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr auto CborType = "application/cbor";

} // namespace

DirectoryPage::DirectoryPage(task::EventLoop &loop, const DirectoryState &state)
    : server_(loop)
{
    server_.route(std::string(DirectoryPath), [&state](const http::IncomingRequest &request, const http::Replier &replier) {
        replier.reply(OkStatus, CborType, encodeAnswer(makeAnswer(state, readQuestion(request.query), now())));
    });
}

auto DirectoryPage::listen(const std::string &address) -> std::string
{
    return server_.listen(address);
}

} // namespace auburnspread::gateway
