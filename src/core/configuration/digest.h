/// \file
/// Content digests. They name parts in the platform's service, so two contents must not share one even if a
/// workspace's operator tries: a cryptographic hash (SHA-256), not a fast one.

#pragma once

#include "core/configuration/document.h"

#include <string>
#include <string_view>

namespace auburnspread::configuration
{

/// SHA-256 in lower-case hex.
auto digestOf(std::string_view content) -> std::string;

/// Digest of the canonical form: over the digests of its parts, as manifests carry it.
/// \throws ManifestError if the document does not fit
auto digestOf(const Document &document) -> std::string;

} // namespace auburnspread::configuration
