/// \file
/// Who may use the console. Operators identify themselves by HTTP basic authentication with a token from the
/// settings; every form carries a token that a page of another site cannot know.

#pragma once

#include "wire/http/server.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::console
{

struct Operator {
    std::string name;
    std::string token;
};

/// `ana:token, ivo:token`; nothing if a name or token is missing, too short or stands twice.
auto parseOperators(std::string_view text) -> std::optional<std::vector<Operator>>;

/// The operator whose name and token the request carries; null: none. Takes equally long for any wrong token.
auto authenticate(const std::vector<Operator> &operators, const http::IncomingRequest &request) -> const Operator *;

/// A value for the hidden field of a form: a random salt and its MAC under the operator's token. Browsers send the
/// basic credentials of this site along with forms that another site submits; such a form lacks this value, since
/// another site can neither compute it nor read it from a page. Consoles need not share any state to check it.
auto makeFormToken(const Operator &account) -> std::string;
auto isFormToken(const Operator &account, std::string_view formToken) -> bool;

/// Whether the request's Origin, if it has one, is this console itself.
auto isSameOrigin(const http::IncomingRequest &request) -> bool;

} // namespace auburnspread::console
