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

    auto operator==(const Need &) const -> bool = default;
};

/// The distinct needs of all classes' grants, by model.
using Needs = std::map<std::string, std::vector<Need>>;

auto needsOf(const configuration::Document &document) -> Needs;
auto satisfies(const Variants &variants, const Need &need) -> bool;

/// One backend server as far as it is known. Refers to what the placer's state holds.
struct ServerSituation {
    const ServerState *wanted = nullptr;
    const ServerState *current = nullptr; ///< as read back; null: not known
    const Variants *usable = nullptr;     ///< what it serves now and while its last order takes effect; null: nothing
    bool secured = false;                 ///< no earlier order that is still under way can change this; only then may others rely on it
};

/// What all backend servers of a document serve together.
struct Coverage {
    struct NeedCoverage {
        const Need *need = nullptr;
        std::uint32_t servers = 0; ///< secured ones that satisfy it
    };
    struct ModelCoverage {
        std::uint32_t wanted = 0;      ///< backend servers that should serve the model
        std::uint32_t unavailable = 0; ///< of these, how many do not, or are not secured
        std::vector<NeedCoverage> needs;
    };
    std::map<std::string, ModelCoverage> models;
};

auto coverageOf(const Needs &needs, const std::vector<ServerSituation> &servers) -> Coverage;

/// A state to order, or why none is ordered.
struct RolloutChoice {
    std::optional<ServerState> target;
    Decision heldFor = Decision::Converged; ///< without a target
    std::string detail;
};

/// \p server must have a known current state and be counted in \p coverage.
auto chooseTarget(const RolloutOptions &options, const Coverage &coverage, const ServerSituation &server) -> RolloutChoice;

} // namespace auburnspread::placement
