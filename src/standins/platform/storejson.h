/// \file
/// The store's values, transactions and sessions in the JSON of the published calls.

#pragma once

#include "standins/platform/store.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace auburnspread::standins
{

/// Reads `10s`, `500ms`, `1m` or `1h`. \throws std::invalid_argument
auto parseDuration(const std::string &text) -> Duration;

/// The value of \p key, or those of all keys that begin with it; an empty list if there is none.
auto listValues(const Store &store, const std::string &key, bool isPrefix) -> nlohmann::json;

/// \throws std::invalid_argument or nlohmann::json::exception if it is not a list of cas operations.
auto readOperations(const nlohmann::json &body) -> std::vector<CasOperation>;
/// The answer to a transaction whose operations at these positions failed.
auto transactionErrors(const std::vector<std::size_t> &failed) -> nlohmann::json;
/// The answer to a transaction that was applied.
auto transactionResults(const Store &store, const std::vector<CasOperation> &operations) -> nlohmann::json;

/// \throws std::invalid_argument or nlohmann::json::exception
auto readSession(const std::string &body) -> Session;
auto toJson(const std::string &id, const Session &session) -> nlohmann::json;

} // namespace auburnspread::standins
