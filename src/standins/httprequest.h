/// \file
/// A request as the stand-ins' handlers see it.

#pragma once

#include <map>
#include <optional>
#include <string>

struct evhtp_request;

namespace auburnspread::standins
{

/// A request that has arrived completely.
struct HttpRequest {
    std::string method;
    std::string path; ///< without the query, percent-decoded
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string source; ///< IP address of the client

    [[nodiscard]] auto header(const std::string &name) const -> std::optional<std::string>;
    [[nodiscard]] auto parameter(const std::string &name) const -> std::optional<std::string>;
};

/// Copies what \p raw holds; \p source is the client's IP address.
auto readRequest(evhtp_request *raw, std::string source) -> HttpRequest;

} // namespace auburnspread::standins
