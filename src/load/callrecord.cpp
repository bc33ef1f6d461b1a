#include "load/callrecord.h"

#include "core/base/nametable.h"

#include <array>

namespace auburnspread::load
{

namespace
{

constexpr auto Results = std::to_array<NamedValue<CallResult>>({
    { CallResult::Answered, "answered" },
    { CallResult::Refused, "refused" },
    { CallResult::Wrong, "wrong" },
    { CallResult::CutSilently, "cut-silently" },
    { CallResult::CutWithError, "cut-with-error" },
    { CallResult::Unterminated, "unterminated" },
    { CallResult::Broken, "broken" },
    { CallResult::GaveUp, "gave-up" },
    { CallResult::Unreachable, "unreachable" },
});

} // namespace

auto resultName(CallResult result) -> std::string_view
{
    return findName(Results, result);
}

} // namespace auburnspread::load
