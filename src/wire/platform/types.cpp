#include "wire/platform/types.h"

#include "core/base/nametable.h"

#include <array>

namespace auburnspread::platform
{

namespace
{

constexpr auto VmStates = std::to_array<NamedValue<VmState>>({
    { VmState::Live, "live" },
    { VmState::Leaving, "leaving" },
});

constexpr auto Verdicts = std::to_array<NamedValue<Verdict>>({
    { Verdict::Applied, "applied" },
    { Verdict::Conflict, "conflict" },
    { Verdict::Unknown, "unknown" },
    { Verdict::Unavailable, "unavailable" },
    { Verdict::Rejected, "rejected" },
});

constexpr auto CallKinds = std::to_array<NamedValue<CallKind>>({
    { CallKind::Get, "get" },
    { CallKind::List, "list" },
    { CallKind::Wait, "wait" },
    { CallKind::Put, "put" },
    { CallKind::Delete, "delete" },
    { CallKind::Transaction, "transaction" },
    { CallKind::SessionCreate, "session-create" },
    { CallKind::SessionRenew, "session-renew" },
    { CallKind::SessionDestroy, "session-destroy" },
    { CallKind::Vms, "vms" },
});

} // namespace

auto vmStateFromName(std::string_view name) -> std::optional<VmState>
{
    return findValue(VmStates, name);
}

auto verdictName(Verdict verdict) -> std::string_view
{
    return findName(Verdicts, verdict);
}

auto callKindName(CallKind kind) -> std::string_view
{
    return findName(CallKinds, kind);
}

auto callKindNames() -> std::vector<std::string_view>
{
    std::vector<std::string_view> names;
    names.reserve(CallKinds.size());
    for (const auto &entry : CallKinds) {
        names.push_back(entry.name);
    }
    return names;
}

} // namespace auburnspread::platform
