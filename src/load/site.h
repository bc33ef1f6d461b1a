/// \file
/// The processes of a running site, as scripts/site.sh describes them in DIR/site.json.

#pragma once

#include "core/configuration/document.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::load
{

enum class ProcessKind {
    Entry,
    Engine,
    Service,
    Platform,
    Console,
    Placer,
};

struct SiteProcess {
    ProcessKind kind = ProcessKind::Entry;
    std::string name;
    std::string address; ///< where it serves
    std::string control; ///< stand-ins: control address; entries: admin address
    std::string pidFile;
};

struct Site {
    std::string policy;
    std::vector<SiteProcess> processes;
    configuration::Document document; ///< the deployment's, which gives classes, targets and workspaces
};

/// \throws std::runtime_error naming the file and what is wrong.
auto readSite(const std::string &directory) -> Site;

auto processesOf(const Site &site, ProcessKind kind) -> std::vector<SiteProcess>;

/// The processes that \p target names: one by its name, one by kind and number ("engine-3", from 1), or all of a kind
/// ("entries", "engines", "services").
/// \throws std::runtime_error if there is none.
auto findTargets(const Site &site, std::string_view target) -> std::vector<SiteProcess>;

/// Its process id as its pid file says; 0 if the file is not there.
auto readPid(const SiteProcess &process) -> int;

} // namespace auburnspread::load
