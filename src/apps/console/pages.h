/// \file
/// The console's pages as HTML. Plain functions of what they show.

#pragma once

#include "apps/administration/entryclient.h"
#include "apps/console/draft.h"
#include "core/configuration/differences.h"
#include "core/configuration/parser.h"
#include "core/configuration/submission.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::console
{

/// What every form carries.
struct FormContext {
    ConfigurationDraft draft;
    std::string formToken;
};

struct SectionView {
    configuration::Section section{};
    std::vector<std::string> names; ///< those that match
    std::string filter;
    std::size_t total = 0; ///< matching, of which names may hold only the first
};

struct ItemView {
    configuration::Section section{};
    std::string name;  ///< under which the item is known; empty: a new one
    std::string value; ///< JSON
    std::vector<configuration::Problem> problems;
    bool saved = false; ///< the draft has it as shown
};

struct ReviewView {
    std::uint64_t inForceVersion = 0;
    std::string inForceAuthor;
    std::vector<configuration::Problem> problems;
    std::vector<configuration::Change> changes;
};

/// Where the document stands.
struct StatusView {
    std::optional<std::uint64_t> version; ///< nothing: the platform's service does not answer
    std::string author;
    std::string platformError;
    administration::EntryAnswers entries;
    std::map<std::string, std::uint64_t> refusals; ///< by reason, over all entries
};

/// Refusals by reason out of one entry's `/metrics`, added to \p refusals.
auto addRefusals(std::string_view metrics, std::map<std::string, std::uint64_t> &refusals) -> void;

auto renderSections(const FormContext &context, std::uint64_t inForceVersion) -> std::string;
auto renderSection(const FormContext &context, const SectionView &view) -> std::string;
auto renderItemPage(const FormContext &context, const ItemView &view) -> std::string;
auto renderReview(const FormContext &context, const ReviewView &view) -> std::string;
auto renderOutcome(const FormContext &context, const configuration::SubmissionFinished &result) -> std::string;

/// On how many entries \p version is in force; loads itself again until it is on all.
auto renderProgress(std::uint64_t version, const administration::EntryAnswers &entries) -> std::string;
auto renderStatus(const StatusView &view) -> std::string;
auto renderError(std::string_view title, std::string_view text) -> std::string;

} // namespace auburnspread::console
