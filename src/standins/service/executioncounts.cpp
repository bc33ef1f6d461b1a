#include "standins/service/executioncounts.h"

#include <stdexcept>

namespace auburnspread::standins
{

ExecutionCounts::ExecutionCounts(const std::string &journal)
{
    if (journal.empty()) {
        return;
    }
    std::ifstream before(journal);
    for (std::string key; std::getline(before, key);) {
        ++counts_[key];
    }
    journal_.open(journal, std::ios::app);
    if (!journal_) {
        throw std::runtime_error("cannot open the journal " + journal);
    }
}

auto ExecutionCounts::count(const std::string &key) -> void
{
    ++counts_[key];
    if (journal_.is_open()) {
        journal_ << key << '\n' << std::flush;
    }
}

auto ExecutionCounts::counts() const -> const std::map<std::string, std::size_t> &
{
    return counts_;
}

} // namespace auburnspread::standins
