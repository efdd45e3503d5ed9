#include "serving/LeaseGeneration.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Receivers that hold numbers as floating point keep 53 bits; 21 are left for the era. */
constexpr int bitsOfNumber = 32;
constexpr std::int64_t maxNumber = (std::int64_t{1} << bitsOfNumber) - 1;

} // namespace

// A VM that has just started knows only the store's current era, and yet its tokens have to be
// above all that were used before the store lost them.
std::int64_t toNumber(const LeaseGeneration &generation) noexcept
{
    const std::int64_t era = std::clamp(generation.era, std::int64_t{0}, maxStoreEra);
    const std::int64_t number = std::clamp(generation.number, std::int64_t{0}, maxNumber);
    return (era << bitsOfNumber) | number;
}

LeaseGeneration toGeneration(std::int64_t number) noexcept
{
    if (number < 0)
        return {};
    return {number >> bitsOfNumber, number & maxNumber};
}

bool isNextGeneration(const LeaseGeneration &generation, const LeaseGeneration &next) noexcept
{
    return next.era == generation.era && next.number == generation.number + 1;
}

std::int64_t nextBootCount(std::int64_t previous, StoreEra era) noexcept
{
    return std::max(previous + 1, toNumber({era.value_or(0), 0}));
}

} // namespace monsoonbay
