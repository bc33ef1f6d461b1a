/// \file
/// Identifiers that the modules of one process share.

#pragma once

#include <cstdint>

namespace auburnspread
{

/// One request of one caller, unique within an entry process.
enum class RequestId : std::uint64_t {};

/// One try of a request on one backend server, unique within an entry process.
enum class AttemptId : std::uint64_t {};

/// Hash of class, model and body: equal requests have equal fingerprints on every entry.
enum class Fingerprint : std::uint64_t {};

} // namespace auburnspread
