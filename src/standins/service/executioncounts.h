/// \file
/// How often a plain service ran each idempotency key.

#pragma once

#include <fstream>
#include <map>
#include <string>

namespace auburnspread::standins
{

/// With a journal the counts outlive the process, so that a test can ask a service that crashed and was started again
/// whether a request ran twice. Each execution is in the journal before it is answered.
class ExecutionCounts
{
public:
    /// \p journal names a file that is read and appended to; empty: none.
    /// \throws std::runtime_error if it cannot be opened.
    explicit ExecutionCounts(const std::string &journal);

    auto count(const std::string &key) -> void;
    [[nodiscard]] auto counts() const -> const std::map<std::string, std::size_t> &;

private:
    std::map<std::string, std::size_t> counts_;
    std::ofstream journal_;
};

} // namespace auburnspread::standins
