/// \file
/// The tables of document fields. The parser, the serializer, the field table for the operators' page and the
/// console's forms all walk these tables, so a field is described once.

#pragma once

#include "core/configuration/document.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <vector>

namespace auburnspread::configuration::detail
{

/// How a text is written.
enum class TextForm {
    Name,       ///< letters, digits, dot, dash, underscore; safe in headers, paths and keys
    Address,    ///< IPv4 number and port
    Method,     ///< HTTP method in capitals
    PathPrefix, ///< begins with a slash
};

/// Range and unit of one field. For texts only \c form and \c required count.
struct FieldRule {
    std::string_view unit = {};
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::uint32_t>::max();
    TextForm form = TextForm::Name;
    bool required = false;
};

template <typename Struct, typename Value>
struct Field {
    std::string_view key;
    Value Struct::*member;
    FieldRule rule;
    std::string_view text; ///< one sentence for operators
};

template <typename Struct, typename Value>
constexpr auto field(std::string_view key, Value Struct::*member, FieldRule rule, std::string_view text) -> Field<Struct, Value>
{
    return { key, member, rule, text };
}

template <typename Value>
struct IsVector : std::false_type {
};

template <typename Item>
struct IsVector<std::vector<Item>> : std::true_type {
};

constexpr std::int64_t HourMs = 3'600'000;
constexpr std::int64_t DayMs = 24 * HourMs;
constexpr std::int64_t MaximumConcurrency = 100'000;
constexpr std::int64_t MaximumRate = 100'000'000;

constexpr FieldRule RequiredName{ .required = true };
constexpr FieldRule NameList{};
constexpr FieldRule Table{};
constexpr FieldRule RateRule{ .unit = "per second", .maximum = MaximumRate };
constexpr FieldRule BurstRule{ .maximum = MaximumRate };
constexpr FieldRule ConcurrencyRule{ .unit = "requests", .minimum = 1, .maximum = MaximumConcurrency };
constexpr FieldRule WeightRule{ .minimum = 1, .maximum = 1000 };
constexpr FieldRule AddressRule{ .form = TextForm::Address, .required = true };

constexpr auto milliseconds(std::int64_t minimum, std::int64_t maximum) -> FieldRule
{
    return { .unit = "ms", .minimum = minimum, .maximum = maximum };
}

/// The table of one struct: `Schema<Workspace>::fields()` is a tuple of Field.
template <typename Struct>
struct Schema;

template <>
struct Schema<FailureDomain> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("name", &FailureDomain::name, RequiredName, "Name of the failure domain."),
                               field("region", &FailureDomain::region, RequiredName, "Region that it lies in."));
    }
};

template <>
struct Schema<Model> {
    static constexpr auto fields()
    {
        return std::make_tuple(
            field("name", &Model::name, RequiredName, "Name that callers send as `model`."),
            field("versions", &Model::versions, NameList, "Versions that may be loaded; the first is the default. At least one."),
            field("adapters", &Model::adapters, NameList, "Adapters that may be loaded with it."),
            field("context_tokens", &Model::contextTokens, { .unit = "tokens", .minimum = 1, .maximum = 100'000'000 }, "Longest prompt and answer together."));
    }
};

template <>
struct Schema<ModelGrant> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("model", &ModelGrant::model, RequiredName, "A model of `models`."),
                               field("versions", &ModelGrant::versions, NameList, "Versions allowed; none named: all."),
                               field("adapters", &ModelGrant::adapters, NameList, "Adapters allowed; none named: all."));
    }
};

template <>
struct Schema<RequestClass> {
    static constexpr auto fields()
    {
        return std::make_tuple(
            field("name", &RequestClass::name, RequiredName, "Name that callers send as `Auburnspread-Class`."),
            field("tier", &RequestClass::tier, { .maximum = TierCount - 1 }, "0 is the highest; a higher tier is never shed for a lower one."),
            field("models", &RequestClass::models, Table, "Models allowed; the first is the default. None: the class is for plain services."),
            field("first_token_ms", &RequestClass::firstTokenTarget, milliseconds(1, HourMs), "Target for the first token."),
            field("token_ms", &RequestClass::tokenTarget, milliseconds(1, HourMs), "Target for the time between tokens."),
            field("answer_ms", &RequestClass::answerTarget, milliseconds(1, DayMs), "Target for the whole answer; also the default deadline."),
            field("starvation_bound_ms",
                  &RequestClass::starvationBound,
                  milliseconds(1, HourMs),
                  "A request that waited longer may use one of the class's floor slots."),
            field("floor_slots",
                  &RequestClass::floorSlots,
                  { .unit = "requests", .maximum = MaximumConcurrency },
                  "Slots of each entry that only starved requests of this class may use."),
            field("weight", &RequestClass::weight, WeightRule, "Share among the classes of the same tier."),
            field("repeatable", &RequestClass::repeatable, Table, "Whether a request may run more than once; callers may say otherwise for each request."),
            field("hedge", &RequestClass::hedge, Table, "Whether a second attempt may race for the first token while capacity is spare."));
    }
};

template <>
struct Schema<Workspace> {
    static constexpr auto fields()
    {
        return std::make_tuple(
            field("name", &Workspace::name, RequiredName, "Name that callers send as `Auburnspread-Workspace`."),
            field("classes", &Workspace::classes, NameList, "Classes that it may use. At least one."),
            field("requests_per_second", &Workspace::requestsPerSecond, RateRule, "Over all entries together; 0: no limit."),
            field("request_burst", &Workspace::requestBurst, BurstRule, "Requests that may come at once before the rate counts."),
            field("tokens_per_second", &Workspace::tokensPerSecond, RateRule, "Prompt and answer tokens, over all entries together; 0: no limit."),
            field("token_burst", &Workspace::tokenBurst, BurstRule, "Tokens that may be used at once before the rate counts."),
            field("concurrency",
                  &Workspace::concurrency,
                  { .unit = "requests", .maximum = MaximumConcurrency },
                  "Requests open at once, over all entries together; 0: no limit."),
            field("weight", &Workspace::weight, WeightRule, "Share among the workspaces of the same class."));
    }
};

template <>
struct Schema<ServedModel> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("model", &ServedModel::model, RequiredName, "A model of `models`."),
                               field("version", &ServedModel::version, RequiredName, "A version of that model."),
                               field("adapters", &ServedModel::adapters, NameList, "Adapters loaded with it."));
    }
};

template <>
struct Schema<BackendServer> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("name", &BackendServer::name, RequiredName, "Name in metrics, logs and `drain`."),
                               field("address", &BackendServer::address, AddressRule, "IP number and port of its HTTP side."),
                               field("failure_domain", &BackendServer::failureDomain, RequiredName, "A failure domain of `failure_domains`."),
                               field("models", &BackendServer::models, Table, "Wanted state: the placer orders it to load these."),
                               field("concurrency", &BackendServer::concurrency, ConcurrencyRule, "Requests in flight from all entries together."),
                               field("checks_fencing", &BackendServer::checksFencing, Table, "Whether it refuses an order with an old fencing number."),
                               field("can_resume", &BackendServer::canResume, Table, "Whether it continues a stream at an offset."),
                               field("honours_priority", &BackendServer::honoursPriority, Table, "Whether it schedules by the priority header."));
    }
};

template <>
struct Schema<ServiceCall> {
    static constexpr auto fields()
    {
        return std::make_tuple(
            field("method", &ServiceCall::method, { .form = TextForm::Method, .required = true }, "HTTP method."),
            field(
                "path_prefix", &ServiceCall::pathPrefix, { .form = TextForm::PathPrefix, .required = true }, "Beginning of the path below the service's name."),
            field("repeatable", &ServiceCall::repeatable, Table, "Whether the call may run more than once."));
    }
};

template <>
struct Schema<ServiceServer> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("name", &ServiceServer::name, RequiredName, "Name in metrics, logs and `drain`."),
                               field("address", &ServiceServer::address, AddressRule, "IP number and port of its HTTP side."),
                               field("failure_domain", &ServiceServer::failureDomain, RequiredName, "A failure domain of `failure_domains`."),
                               field("concurrency", &ServiceServer::concurrency, ConcurrencyRule, "Requests in flight from all entries together."));
    }
};

template <>
struct Schema<Service> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("name", &Service::name, RequiredName, "Name in `/services/<name>/`."),
                               field("servers", &Service::servers, Table, "Replicas. At least one."),
                               field("calls", &Service::calls, Table, "Calls by longest matching prefix; a call that none matches is not repeatable."));
    }
};

template <>
struct Schema<Limits> {
    static constexpr auto fields()
    {
        return std::make_tuple(
            field("queue_length", &Limits::queueLength, { .unit = "requests", .minimum = 1, .maximum = 1'000'000 }, "Requests waiting in one entry."),
            field(
                "retry_budget_percent", &Limits::retryBudgetPercent, { .unit = "%", .maximum = 100 }, "Retries as a share of fresh requests, for each class."),
            field("ejected_share_percent",
                  &Limits::ejectedSharePercent,
                  { .unit = "%", .maximum = 100 },
                  "Backend servers of one model that may be ejected at once."),
            field("first_token_timeout_ms", &Limits::firstTokenTimeout, milliseconds(1, HourMs), "An attempt without a first token by then has failed."),
            field("progress_timeout_ms", &Limits::progressTimeout, milliseconds(1, HourMs), "A stream without a further token by then has failed."),
            field("quarantine_expiry_ms", &Limits::quarantineExpiry, milliseconds(1, 30 * DayMs), "How long a quarantined request stays so."),
            field("quarantine_entries", &Limits::quarantineEntries, { .minimum = 1, .maximum = 1'000'000 }, "Quarantined requests that one entry remembers."),
            field("entries_keep_ms", &Limits::entriesKeep, milliseconds(100, HourMs), "How long callers may keep an answer of `/v1/entries`."));
    }
};

template <>
struct Schema<Document> {
    static constexpr auto fields()
    {
        return std::make_tuple(field("name", &Document::name, RequiredName, "Name of the deployment."),
                               field("failure_domains", &Document::failureDomains, Table, "At least one."),
                               field("models", &Document::models, Table, "Models that backend servers may serve."),
                               field("classes", &Document::classes, Table, "Request classes. At least one."),
                               field("workspaces", &Document::workspaces, Table, "Workspaces. At least one."),
                               field("backend_servers", &Document::backendServers, Table, "Model engines."),
                               field("services", &Document::services, Table, "Plain services beside the engines."),
                               field("limits", &Document::limits, Table, "Limits that hold for all entries."));
    }
};

/// Calls \p visit with each Field of \p Struct, in the order of the table.
template <typename Struct, typename Visit>
constexpr auto forEachField(Visit &&visit) -> void
{
    std::apply([&visit](const auto &...fields) { (visit(fields), ...); }, Schema<Struct>::fields());
}

/// Whether \p Value is a struct with a table of its own.
template <typename Value>
concept HasSchema = requires
{
    Schema<Value>::fields();
};

} // namespace auburnspread::configuration::detail
