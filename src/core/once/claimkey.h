/// \file
/// The name of a claim: what makes two non-repeatable requests the same one.

#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace auburnspread::once
{

/// A workspace's idempotency key, as stored in the platform's service.
struct ClaimKey {
    std::string path; ///< `auburnspread/claims/<workspace>/<hash>`

    auto operator==(const ClaimKey &) const -> bool = default;
};

/// The hash has 128 bits, so keys of one workspace do not meet by chance; workspaces never share a path. Bytes of the
/// workspace's name that have a meaning in a path are percent-encoded.
auto makeClaimKey(std::string_view workspace, std::string_view idempotencyKey) -> ClaimKey;

struct ClaimKeyHash {
    auto operator()(const ClaimKey &key) const -> std::size_t
    {
        return std::hash<std::string>{}(key.path);
    }
};

} // namespace auburnspread::once
