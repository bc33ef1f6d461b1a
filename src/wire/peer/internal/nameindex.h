/// \file
/// Numbers in place of names in reports. A report names the same backend servers and workspaces again and again; at a
/// few reports a second to each peer the names alone would exceed an entry's budget for control traffic.

#pragma once

#include "wire/peer/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::peer::detail
{

/// The sender's numbers, the same on all of its links.
class NameIndex
{
public:
    /// Nothing if the report names more than fit into the index; it must be sent with its names then. A full index
    /// starts over, so that names of the past don't stay for ever.
    auto toIndexed(const routing::PeerReported &report) -> std::optional<IndexedReport>;

    /// What peers must learn before the last report, in messages of bounded size.
    auto takeNew() -> std::vector<Names>;
    /// What a new peer must learn.
    [[nodiscard]] auto listAll() const -> std::vector<Names>;

private:
    auto numberOf(const std::string &name) -> std::uint32_t;
    auto tryIndex(const routing::PeerReported &report) -> IndexedReport;
    [[nodiscard]] auto listFrom(std::size_t first) const -> std::vector<Names>;

    std::map<std::string, std::uint32_t> numbers_;
    std::vector<std::string> names_;
    std::size_t announced_ = 0;
};

/// Takes in what a peer announced; false if it does not continue what is known or exceeds the bound.
auto learnNames(std::vector<std::string> &known, const Names &names) -> bool;

/// Uses of numbers that were not announced are left out.
auto toNamed(const IndexedReport &report, const std::vector<std::string> &known) -> Report;

} // namespace auburnspread::peer::detail
