/// \file
/// Identifies a caller's request: from HTTP fields to a submission, or a clear refusal.

#pragma once

#include "core/base/reason.h"
#include "entry/messages/messages.h"

#include <stdexcept>
#include <string>

struct evhtp_request;

namespace auburnspread::entry
{

/// A request that is refused before it reaches the router.
class RefusedInput : public std::runtime_error
{
public:
    RefusedInput(Reason refusalReason, const std::string &detail);
    [[nodiscard]] auto reason() const -> Reason;

private:
    Reason reason_;
};

/// \throws RefusedInput
auto readChatSubmission(evhtp_request *request, RequestId id, const std::string &publicId) -> Submission;
/// \throws RefusedInput
auto readServiceSubmission(evhtp_request *request, RequestId id, const std::string &publicId) -> Submission;

/// Value of a header, or empty.
auto headerOf(evhtp_request *request, const char *name) -> std::string;
/// Value of a query argument, or empty.
auto queryOf(evhtp_request *request, const char *name) -> std::string;
/// The caller's IP number.
auto callerOf(evhtp_request *request) -> std::string;
/// The path with the query, as the caller sent it.
auto pathAndQueryOf(evhtp_request *request) -> std::string;

} // namespace auburnspread::entry
