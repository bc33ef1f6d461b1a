#include "standins/engine/sampling.h"

#include <random>

namespace auburnspread::standins
{

auto isHit(std::uint64_t count, std::size_t period) -> bool
{
    if (period == 0) {
        return false;
    }
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(count / period + 1));
    generator.discard(1);
    return count % period == generator() % period;
}

} // namespace auburnspread::standins
