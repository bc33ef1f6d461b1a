/// \file
/// The caller's chat-completions request: checked, and rewritten for a backend server.

#pragma once

#include "core/base/ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace auburnspread::chat
{

/// A request body that cannot be accepted; the text names the field and what was expected.
class BadRequest : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ChatRequest {
    nlohmann::json body; ///< as sent, with unknown fields kept
    std::string model;   ///< without version and adapter; empty if the caller named none
    std::string version;
    std::string adapter;
    bool stream = false;
    std::uint32_t maxTokens = 0;    ///< 0: not given
    std::uint32_t promptTokens = 0; ///< estimated
    std::uint64_t prefixHash = 0;   ///< of model and first message
};

/// Reads a body. The model is written `name`, `name:version` or `name:version:adapter`.
/// \throws BadRequest
auto parseChatRequest(std::string_view text) -> ChatRequest;

/// The body for a backend server: always streamed, with the model as dispatched.
auto makeBackendBody(const nlohmann::json &body, const std::string &model, const std::string &version, const std::string &adapter) -> std::string;

/// Equal requests (class, model and body) have equal fingerprints on every entry.
auto makeFingerprint(std::string_view requestClass, std::string_view body) -> Fingerprint;

} // namespace auburnspread::chat
