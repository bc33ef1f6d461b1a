#include "entry/control/internal/pendingreport.h"

#include <algorithm>
#include <unordered_map>

namespace auburnspread::entry
{

auto addReport(routing::PeerReported &pending, const routing::PeerReported &newer) -> void
{
    std::unordered_map<std::string, routing::PeerReported::WorkspaceUse> older;
    for (auto &use : pending.workspaces) {
        older.emplace(use.workspace, use);
    }
    pending = newer;
    for (auto &use : pending.workspaces) {
        const auto known = older.extract(use.workspace);
        if (!known.empty()) {
            use.requests += known.mapped().requests;
            use.tokens += known.mapped().tokens;
        }
    }
    for (auto &[name, use] : older) {
        use.inFlight = 0; // the newer report would name it otherwise
        if (use.requests > 0 || use.tokens > 0) {
            pending.workspaces.push_back(use);
        }
    }
}

} // namespace auburnspread::entry
