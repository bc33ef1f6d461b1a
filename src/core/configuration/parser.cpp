#include "core/configuration/parser.h"

#include "core/configuration/internal/jsonreader.h"
#include "core/configuration/validation.h"

#include <set>

namespace auburnspread::configuration
{

namespace
{

using nlohmann::json;

/// Finds keys that stand twice in one object. The JSON library keeps only the last of them, so an operator who
/// pasted a second "tier" would see one value and get the other.
class DuplicateKeys
{
public:
    explicit DuplicateKeys(std::vector<Problem> &problems)
        : problems_(problems)
    {
    }

    auto see(json::parse_event_t event, const json &parsed) -> void
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            open_.push_back({ .isArray = event == json::parse_event_t::array_start });
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_.pop_back();
            finishValue();
            break;
        case json::parse_event_t::key:
            seeKey(parsed.get<std::string>());
            break;
        case json::parse_event_t::value:
            finishValue();
            break;
        }
    }

private:
    struct Container {
        bool isArray = false;
        std::size_t index = 0; ///< of the item being read
        std::string key;       ///< of the member being read
        std::set<std::string> keys;
    };

    auto seeKey(std::string key) -> void
    {
        open_.back().key = key;
        if (!open_.back().keys.insert(std::move(key)).second) {
            problems_.push_back({ .path = path(), .text = "the key stands twice in one object" });
        }
    }

    auto finishValue() -> void
    {
        if (!open_.empty()) {
            ++open_.back().index;
        }
    }

    auto path() const -> std::string
    {
        auto path = std::string();
        for (const auto &container : open_) {
            path = detail::childPath(path, container.isArray ? std::to_string(container.index) : container.key);
        }
        return path;
    }

    std::vector<Problem> &problems_;
    std::vector<Container> open_;
};

auto parseJson(std::string_view text, std::vector<Problem> &problems) -> json
{
    auto duplicates = DuplicateKeys(problems);
    const auto callback = [&duplicates](int, json::parse_event_t event, const json &parsed) {
        duplicates.see(event, parsed);
        return true;
    };
    return json::parse(text, callback);
}

} // namespace

auto parseDraft(std::string_view text) -> Draft
{
    auto draft = Draft();
    auto root = json();
    try {
        root = parseJson(text, draft.problems);
    } catch (const json::parse_error &error) {
        draft.problems.push_back({ .path = {}, .text = "not JSON: " + std::string(error.what()) });
        return draft;
    }
    detail::JsonReader(draft.problems).readObject(root, draft.document, {});
    if (!root.is_object()) {
        return draft;
    }
    for (auto &problem : validateReferences(draft.document)) {
        draft.problems.push_back(std::move(problem));
    }
    return draft;
}

auto parseDocument(std::string_view json) -> Parsed
{
    auto draft = parseDraft(json);
    auto parsed = Parsed{ .document = std::nullopt, .problems = std::move(draft.problems) };
    if (parsed.problems.empty()) {
        parsed.document = std::move(draft.document);
    }
    return parsed;
}

} // namespace auburnspread::configuration
