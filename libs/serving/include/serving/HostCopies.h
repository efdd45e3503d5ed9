#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace monsoonbay {

/**
 * How long an engine keeps the weights of an adapter in host memory after they left their slot,
 * counted in loads there; the same for all engines of a service. Learnt from whether loads turned
 * out to be fast.
 */
struct HostRetention
{
    double retainedLoads = 128; ///< initial guess; some dozens of loads correct it either way

    auto operator<=>(const HostRetention &) const = default;
};

/**
 * Adapters that an engine held, and how long ago each was last touched, that is, loaded into a slot
 * or evicted from it.
 */
struct HostCopies
{
    std::unordered_map<std::string, std::uint64_t> touchNumbers; ///< last touch, by adapter
    std::uint64_t touches = 0;

    bool operator==(const HostCopies &) const = default;
};

/** To be called when the adapter was loaded into a slot of the engine, or evicted from it. */
void recordTouch(HostCopies &copies, const std::string &adapter);

/** Loads at the engine since the adapter was last touched; below 0: it never was. */
double loadsSinceTouch(const HostCopies &copies, const std::string &adapter);

/** True if the engine is expected to have the adapter in host memory. */
bool hasHostCopy(const HostCopies &copies, const std::string &adapter, const HostRetention &memory);

/** The expected copy was missing this many loads after the last touch. */
void shortenRetention(HostRetention &memory, double loads) noexcept;

/** A copy was found this many loads after the last touch. */
void lengthenRetention(HostRetention &memory, double loads) noexcept;

} // namespace monsoonbay
