/// \file
/// A short summary of a member table. Two tables with equal digests hold the same members, so peers compare
/// digests and send only the records of the buckets that differ.

#pragma once

#include "core/membership/member.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace auburnspread::membership
{

constexpr std::size_t DigestBuckets = 16;

struct TableDigest {
    std::array<std::uint64_t, DigestBuckets> buckets{};

    auto operator==(const TableDigest &) const -> bool = default;
};

/// The bucket that holds the member of this name.
auto bucketOf(std::string_view name) -> std::size_t;

/// Adds a record to the digest. Records of gone members don't count: each entry forgets them in its own time.
auto addToDigest(TableDigest &digest, const MemberRecord &record) -> void;

} // namespace auburnspread::membership
