#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonbay {

/**
 * Standing of a VM among those of its availability zone.
 *
 * One VM of a zone, its relay, reads the platform's store for all and exchanges news with the other
 * zones; the rest report to it and learn from it. So the calls to the store and the messages
 * between zones grow with the zones, not with the VMs or their square. Nobody is elected: each VM
 * reports to the best-ranked one that answers it, and who has nobody above itself relays.
 */
struct RelayRank
{
    bool storeUnreachable = false; ///< it says that it cannot reach the store
    double capacity = 0; ///< cores; the strongest VM relays
    std::uint64_t hash = 0; ///< of its name: settles ties alike on all VMs

    auto operator<=>(const RelayRank &) const = default;
};

/** Another VM of the zone, as seen from here. */
struct ZonePeer
{
    RelayRank rank;
    bool reachable = true; ///< it has not failed to answer lately, and is not stopping
    bool starting = false; ///< it knows no configuration or targets yet
    bool leaseHolder = false; ///< it is one of those that order engines
    bool linksLost = false; ///< it does not reach engines that other VMs reach

    auto operator<=>(const ZonePeer &) const = default;
};

/** True if `left` goes before `right`. */
bool ranksBefore(const RelayRank &left, const RelayRank &right) noexcept;

/**
 * True if this VM is to read the store for its zone. One that knows something goes on until the one
 * above it has started, too.
 */
bool isRelay(const RelayRank &self, bool selfStarting, const std::vector<ZonePeer> &mates) noexcept;

/**
 * The mate to report to and learn from; nothing if there is none above this VM. A VM that is
 * starting learns from any that is not, so that it can serve while the store is away.
 */
std::optional<std::size_t> chooseUpstream(const RelayRank &self, bool selfStarting,
                                          const std::vector<ZonePeer> &mates) noexcept;

/**
 * The mates that a relay lets order engines beside itself: `most` of the best-ranked, those that do
 * so already before all others, and those that reach no engines last. Each that joins has the
 * engines dealt anew, and those that move get no orders for seconds.
 */
std::vector<std::size_t> chooseLeaseHolders(const std::vector<ZonePeer> &mates, std::size_t most);

} // namespace monsoonbay
