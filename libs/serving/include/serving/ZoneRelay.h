#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonbay {

/**
 * Rank of a VM among those of its availability zone.
 *
 * One VM of each zone, its relay, reads the platform's store for the whole zone and exchanges state
 * updates with the other zones; the other VMs report to it and receive updates from it. Requests to
 * the store and messages between zones therefore grow with the number of zones and not with the
 * number of VMs or its square. There is no election: each VM reports to the best-ranked one that
 * answers it, and a VM with none above it acts as the relay.
 */
struct RelayRank
{
    bool storeUnreachable = false; ///< it reports that it cannot reach the store
    double capacity = 0; ///< CPU cores; the strongest VM becomes the relay
    std::uint64_t hash = 0; ///< of its name: breaks ties in the same way on all VMs

    auto operator<=>(const RelayRank &) const = default;
};

/** Another VM of the zone, as seen from this one. */
struct ZonePeer
{
    RelayRank rank;
    bool reachable = true; ///< it has answered recently and is not shutting down
    bool starting = false; ///< it has no configuration or targets yet
    bool leaseHolder = false; ///< it may hold leases on engines
    bool linksLost = false; ///< it does not reach engines that other VMs reach

    auto operator<=>(const ZonePeer &) const = default;
};

/** True if `left` ranks before `right`. */
bool ranksBefore(const RelayRank &left, const RelayRank &right) noexcept;

/**
 * True if this VM is to read the store for its zone. A VM that has state continues until the one
 * ranked above it has finished starting.
 */
bool isRelay(const RelayRank &self, bool selfStarting, const std::vector<ZonePeer> &peers) noexcept;

/**
 * The zone peer to report to and receive updates from; nothing if none ranks above this VM. A VM
 * that is starting uses any peer that is not, so that it can serve while the store is unreachable.
 */
std::optional<std::size_t> chooseUpstream(const RelayRank &self, bool selfStarting,
                                          const std::vector<ZonePeer> &peers) noexcept;

/**
 * The zone peers that the relay lets hold leases on engines in addition to itself: the
 * `maxHolders` best-ranked ones, with current lease holders first and VMs that reach no engines
 * last. Each VM that joins causes engines to be reassigned, and a reassigned engine gets no
 * commands for seconds.
 */
std::vector<std::size_t> chooseLeaseHolders(const std::vector<ZonePeer> &peers,
                                            std::size_t maxHolders);

} // namespace monsoonbay
