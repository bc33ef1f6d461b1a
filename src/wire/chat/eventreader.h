/// \file
/// Splits a server-sent event stream into the data of its events.

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace auburnspread::chat
{

class EventReader
{
public:
    /// An event longer than \p mostBytes is an error: a backend server must not fill our memory.
    explicit EventReader(std::size_t mostBytes);

    /// Takes bytes in as they come and calls \p receive with the data of each event that is complete.
    /// \return false if an event exceeds the bound; nothing may be fed afterwards
    auto feed(std::string_view bytes, const std::function<void(std::string_view)> &receive) -> bool;

private:
    std::size_t mostBytes_;
    std::string pending_;
};

} // namespace auburnspread::chat
