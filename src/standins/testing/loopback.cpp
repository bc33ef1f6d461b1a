#include "standins/testing/loopback.h"

#include <unistd.h>

namespace auburnspread::standins
{

auto takeLoopbackAddress() -> std::string
{
    constexpr int FirstPort = 20'001;
    constexpr int ByteValues = 256;
    static auto nextPort = FirstPort;
    const auto process = ::getpid();
    const auto high = 1 + process / ByteValues % (ByteValues - 2);
    const auto low = process % ByteValues;
    return "127." + std::to_string(high) + "." + std::to_string(low) + ".1:" + std::to_string(nextPort++);
}

} // namespace auburnspread::standins
