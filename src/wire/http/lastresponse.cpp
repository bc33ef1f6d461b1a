#include "wire/http/lastresponse.h"

#include <sys/socket.h>

namespace auburnspread::http
{

namespace
{

auto format(const LastResponse &response) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(response.phrase) + "\r\nConnection: close\r\n";
    for (const auto &header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

} // namespace

auto sendLastResponse(int descriptor, const LastResponse &response) -> bool
{
    const auto text = format(response);
    return ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(text.size());
}

} // namespace auburnspread::http
