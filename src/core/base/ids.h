/// \file
/// Identifiers that are common to the modules of one process.

#pragma once

#include <cstdint>

namespace auburnspread
{

/// Identifies a request of a caller, unique within an entry process.
enum class RequestId : std::uint64_t {};

/// Identifies one attempt of a request on a backend server, unique within an entry process.
enum class AttemptId : std::uint64_t {};

/// Hash of the class, model and body of a request: equal requests have equal fingerprints on all entries.
enum class Fingerprint : std::uint64_t {};

} // namespace auburnspread
