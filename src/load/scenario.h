/// \file
/// A load scenario: who calls what at which rate, and which faults strike when. Read from an INI file that is
/// checked strictly: a misspelt key must not silently leave a default in force.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::load
{

/// The file, section, key and value at fault, and what was expected.
class ScenarioError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class LengthKind {
    Fixed,     ///< always the median
    LogNormal, ///< exp(N(ln median, sigma))
    Pareto,    ///< heavy tail of index alpha with the given median
};

/// How many tokens an answer has. The router is never told.
struct LengthDistribution {
    LengthKind kind = LengthKind::LogNormal;
    double median = 60;
    double sigma = 0.6; ///< of the log-normal
    double alpha = 1.8; ///< of the Pareto
    std::uint32_t maximum = 1000;
};

/// One kind of call and its arrivals: a Poisson process whose rate is multiplied inside the burst window.
struct Flow {
    std::string name;
    std::string requestClass;
    double rate = 1; ///< calls a second
    Duration burstFrom{};
    Duration burstTo{};
    double burstFactor = 1;
    double streamShare = 1; ///< part of the calls that ask for a stream
    LengthDistribution length;
    std::uint32_t prefixes = 2;     ///< shared prompt beginnings of one workspace
    std::uint32_t prefixWords = 60; ///< length of a shared beginning
    std::uint32_t promptWords = 20; ///< length of what is a call's own
    std::string text;               ///< put into every message, for faults that strike on a text
    bool sameBody = false;          ///< all calls of a workspace send the same body, as a caller's blind repeat does
    std::uint32_t repeats = 0;      ///< how often a caller asks again after a refusal or a broken answer
    std::optional<bool> repeatable; ///< sent as Auburnspread-Repeatable; absent: not sent
    std::string workspace;          ///< the only workspace that calls; empty: all that may use the class
    std::string service;            ///< a plain service; empty: the model engines
    std::string method = "POST";    ///< of a service call
    std::string path = "/";         ///< of a service call
    Duration giveUp{};              ///< the caller closes after this long; 0: twice the answer's target and two seconds
};

/// What strikes a process of the site at a time.
struct Fault {
    std::string name;
    Duration at{};
    std::vector<std::string> targets; ///< process names, "engine-3" for the third engine, or "engines" for all; see findTargets
    std::string post;                 ///< JSON for the control address of a stand-in
    std::string admin;                ///< path to POST to on an entry's admin address; "{engine-4}" in it stands for that process's name
    int signal = 0;                   ///< sent to the process; 0: none
};

struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    Duration duration = std::chrono::seconds(15); ///< in which calls arrive
    Duration settle = std::chrono::seconds(20);   ///< the longest wait for open calls after that
    std::uint32_t callersPerWorkspace = 3;        ///< each keeps an answer of /v1/entries of its own
    std::uint32_t largeWorkspaces = 2;            ///< the first workspaces of a class are the large ones
    double largeShare = 0.6;                      ///< part of the calls that the large workspaces make
    std::vector<Flow> flows;
    std::vector<Fault> faults;
};

/// One file's text.
struct ScenarioText {
    std::string fileName;
    std::string text;
};

/// Later texts add to earlier ones and override their values, so that one set of flows serves with many sets of faults.
/// The scenario's name is made of all their names.
/// \throws ScenarioError naming the file, section, key, value and what was expected.
auto parseScenario(const std::vector<ScenarioText> &texts) -> Scenario;

/// \throws ScenarioError also if a file cannot be read.
auto readScenario(const std::vector<std::string> &fileNames) -> Scenario;

} // namespace auburnspread::load
