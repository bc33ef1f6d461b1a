#include "core/membership/tabledigest.h"

#include "core/membership/internal/rendezvous.h"

#include <string>

namespace auburnspread::membership
{

auto bucketOf(std::string_view name) -> std::size_t
{
    return detail::rankOf(0, name) % DigestBuckets;
}

auto addToDigest(TableDigest &digest, const MemberRecord &record) -> void
{
    if (record.state == MemberState::Gone) {
        return;
    }
    auto hash = detail::keyOf(record.name, record.peerAddress);
    hash = detail::rankOf(hash, memberStateName(record.state));
    hash = detail::rankOf(hash, std::to_string(record.incarnation));
    hash = detail::rankOf(hash, std::to_string(record.version));
    digest.buckets.at(bucketOf(record.name)) ^= hash;
}

} // namespace auburnspread::membership
