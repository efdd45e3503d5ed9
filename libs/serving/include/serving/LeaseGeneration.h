#pragma once

#include <compare>
#include <cstdint>

#include "serving/StoreEra.h"

namespace monsoonbay {

/**
 * A generation of a lease group. A store that comes back from an older copy gives the same numbers
 * out again, so they compare only within one era.
 */
struct LeaseGeneration
{
    std::int64_t era = 0; ///< of the store that gave out the number; 0 if it names none
    std::int64_t number = 0;

    auto operator<=>(const LeaseGeneration &) const = default;
};

/** One number that is ordered like the generation: a fencing token, of at most 53 bits. */
std::int64_t toNumber(const LeaseGeneration &generation) noexcept;

/** The generation that a number stands for; a negative number stands for the first one. */
LeaseGeneration toGeneration(std::int64_t number) noexcept;

/** True if `next` directly follows `generation`, in the same era. */
bool isNextGeneration(const LeaseGeneration &generation, const LeaseGeneration &next) noexcept;

/** The boot count that follows `previous`; no boot of an earlier era has the same or a higher one.
 */
std::int64_t nextBootCount(std::int64_t previous, StoreEra era) noexcept;

} // namespace monsoonbay
