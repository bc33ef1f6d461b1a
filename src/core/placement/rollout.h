/// \file
/// Which state a backend server may be ordered into now, so that no granted model is left without a serving backend
/// server and a rollout does not take a model's backend servers away together.

#pragma once

#include "core/configuration/document.h"
#include "core/placement/decision.h"
#include "core/placement/serverstate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace auburnspread::placement
{

struct RolloutOptions {
    std::uint32_t unavailablePercent = 20; ///< of a model's backend servers that may be unavailable at once; at least one
};

/// Something that callers may name by the document's grants: any of the versions, with this adapter.
struct Need {
    std::string model;
    std::set<std::string> versions;
    std::string adapter; ///< empty: the model alone

    auto operator<(const Need &other) const -> bool
    {
        return std::tie(model, versions, adapter) < std::tie(other.model, other.versions, other.adapter);
    }
};

/// The distinct needs of all classes' grants.
auto needsOf(const configuration::Document &document) -> std::set<Need>;
auto satisfies(const Variants &variants, const Need &need) -> bool;

/// One backend server as far as it is known.
struct ServerSituation {
    std::string name;
    ServerState wanted;
    std::optional<ServerState> current; ///< as read back; absent: not known
    Variants usable;                    ///< what it serves now and while its last order takes effect
    bool secured = false;               ///< no earlier order that is still under way can change this; only then may others rely on it
};

/// What all backend servers of a document serve together.
struct Coverage {
    struct NeedCoverage {
        Need need;
        std::uint32_t servers = 0; ///< secured ones that satisfy it
    };
    struct ModelCoverage {
        std::uint32_t wanted = 0;      ///< backend servers that should serve the model
        std::uint32_t unavailable = 0; ///< of these, how many do not
    };
    std::vector<NeedCoverage> needs;
    std::map<std::string, ModelCoverage> models;
};

auto coverageOf(const std::set<Need> &needs, const std::vector<ServerSituation> &servers) -> Coverage;

/// A state to order, or why none is ordered.
struct RolloutChoice {
    std::optional<ServerState> target;
    Decision heldFor = Decision::Converged; ///< without a target
    std::string detail;
};

/// \p server must have a known current state and be counted in \p coverage.
auto chooseTarget(const RolloutOptions &options, const Coverage &coverage, const ServerSituation &server) -> RolloutChoice;

} // namespace auburnspread::placement
