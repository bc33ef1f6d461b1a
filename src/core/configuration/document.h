/// \file
/// The operators' configuration document as plain data. One document describes everything that all nodes must
/// agree on; it takes effect as a whole or not at all. Names are keys: they refer to each other by name.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::configuration
{

/// Tier 0 is the highest; a higher tier is never shed for a lower one.
constexpr int TierCount = 8;

struct FailureDomain {
    std::string name;
    std::string region;
};

struct Model {
    std::string name;
    std::vector<std::string> versions; ///< the first is the default
    std::vector<std::string> adapters;
    std::uint32_t contextTokens = 8192;
};

/// A model that a class may use; empty version or adapter lists allow all of the model's.
struct ModelGrant {
    std::string model;
    std::vector<std::string> versions;
    std::vector<std::string> adapters;
};

struct RequestClass {
    std::string name;
    int tier = TierCount - 1;
    std::vector<ModelGrant> models; ///< the first is the default when the caller names none
    Duration firstTokenTarget = std::chrono::milliseconds(550);
    Duration tokenTarget = std::chrono::milliseconds(52); ///< time between tokens
    Duration answerTarget = std::chrono::seconds(30);     ///< whole answer; also the default deadline
    Duration starvationBound = std::chrono::seconds(5);   ///< waiting longer than this may use a floor slot
    std::uint32_t floorSlots = 1;                         ///< slots per entry that only starved requests of this class may use
    std::uint32_t weight = 1;                             ///< share among classes of the same tier
    bool repeatable = true;                               ///< default of Auburnspread-Repeatable
    bool hedge = false;                                   ///< whether a second attempt may race for the first token
};

/// Limits of 0 mean no limit. They hold for the workspace over all entries together.
struct Workspace {
    std::string name;
    std::vector<std::string> classes;
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t requestBurst = 0;
    std::uint32_t tokensPerSecond = 0;
    std::uint32_t tokenBurst = 0;
    std::uint32_t concurrency = 0;
    std::uint32_t weight = 1; ///< share among workspaces of the same class
};

/// A model as loaded (or to be loaded) on a backend server.
struct ServedModel {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
};

struct BackendServer {
    std::string name;
    std::string address; ///< IP number and port
    std::string failureDomain;
    std::vector<ServedModel> models; ///< wanted state; the placer orders it
    std::uint32_t concurrency = 8;   ///< requests in flight from all entries together
    bool checksFencing = false;      ///< refuses an order with an old fencing number
    bool canResume = true;           ///< continues a stream at an offset
    bool honoursPriority = true;
};

struct ServiceCall {
    std::string method;
    std::string pathPrefix;
    bool repeatable = false;
};

struct ServiceServer {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::uint32_t concurrency = 32;
};

/// A plain service beside the engines. A call that no entry of \c calls matches is not repeatable.
struct Service {
    std::string name;
    std::vector<ServiceServer> servers;
    std::vector<ServiceCall> calls;
};

struct Limits {
    std::uint32_t queueLength = 2000;                     ///< requests waiting in one entry
    std::uint32_t retryBudgetPercent = 10;                ///< retries as a share of fresh requests, per class
    std::uint32_t ejectedSharePercent = 34;               ///< backend servers of one model that may be ejected at once
    Duration firstTokenTimeout = std::chrono::seconds(5); ///< an attempt without a first token by then has failed
    Duration progressTimeout = std::chrono::seconds(2);   ///< a stream without a further token by then has failed
    Duration quarantineExpiry = std::chrono::hours(1);
    std::uint32_t quarantineEntries = 1000;
    Duration entriesKeep = std::chrono::seconds(5); ///< how long callers may keep an answer of /v1/entries
};

struct Document {
    std::string name; ///< the deployment's name
    std::vector<FailureDomain> failureDomains;
    std::vector<Model> models;
    std::vector<RequestClass> classes;
    std::vector<Workspace> workspaces;
    std::vector<BackendServer> backendServers;
    std::vector<Service> services;
    Limits limits;
};

/// A document that is in force: the version orders documents, the digest tells them apart.
struct AdoptedDocument {
    std::uint64_t version = 0;
    std::string digest;
    Document document;
};

} // namespace auburnspread::configuration
