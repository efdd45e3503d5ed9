#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace monsoonbay {

/**
 * How long an engine keeps the weights of an adapter in its memory after they left their slot,
 * counted in loads there; the engines of a service are alike. Learnt from loads that turned out
 * fast or not.
 */
struct HostRetention
{
    double retainedLoads =
        128; ///< a first guess; left within some dozens of retainedLoads, both ways

    auto operator<=>(const HostRetention &) const = default;
};

/** Adapters that an engine held, and how long ago. */
struct HostCopies
{
    std::unordered_map<std::string, std::uint64_t>
        touchNumbers; ///< number of the touch, by adapter
    std::uint64_t touches = 0;

    bool operator==(const HostCopies &) const = default;
};

/** The adapter came into a slot of the engine, or left it. */
void recordTouch(HostCopies &copies, const std::string &adapter);

/** Loads at the engine since the adapter was last touched; below 0: it never was. */
double loadsSinceTouch(const HostCopies &copies, const std::string &adapter);

/** True if the engine is believed to keep the adapter in its memory. */
bool hasHostCopy(const HostCopies &copies, const std::string &adapter, const HostRetention &memory);

/** A copy was gone so many loads after it was touched, though it was believed to be there. */
void shortenRetention(HostRetention &memory, double loads) noexcept;

/** A copy was there after so many loads. */
void lengthenRetention(HostRetention &memory, double loads) noexcept;

} // namespace monsoonbay
