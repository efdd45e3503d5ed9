#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "serving/TargetEntry.h"

namespace monsoonbay {

/** What this VM believes of one target. */
struct TargetRecord
{
    TargetEntry entry;
    bool gone = false; ///< its entry was removed while the list was being followed
    Instant expiredAt{}; ///< when the entry was found missing after an outage; zero: it is there

    auto operator<=>(const TargetRecord &) const = default;
};

/** The platform's list of targets as this VM last saw it. */
struct TargetTable
{
    std::unordered_map<std::string, TargetRecord> records;
    std::unordered_map<std::string, Instant> droppedAt; ///< lately
    Instant lastReadAt{}; ///< of the list, by whichever VM; zero: never
    Instant lastOwnReadAt{}; ///< by this VM itself
    Instant failingSince{}; ///< reads have failed since then; zero: the last one did not
    Instant outageEndedAt{}; ///< when the list could be read again after a gap
};

/**
 * When reads have failed for this long, removals may be mere expiries: targets could not renew
 * their entries either. Three heartbeats of 1.2 s are the shortest expiry; this is well below.
 */
constexpr Duration outageThreshold = std::chrono::milliseconds(1800);

/** Targets that live are listed again within two seconds of an outage's end, says the platform. */
constexpr Duration relistGrace = std::chrono::milliseconds(2200);

/**
 * The list is read every 0.7 s and told on within 0.2 s. A target that leaves gets nothing new 2 s
 * later, also if a read of one's own has to come first.
 */
constexpr Duration maxListAge = std::chrono::milliseconds(1100);

/** The list was read at `now`, whatever it said. Call before the changes of that read. */
void recordListRead(TargetTable &book, Instant now);

/** An attempt to read the list failed. */
void recordListFailure(TargetTable &book, Instant now);

/**
 * Another VM read the list at `readAt`, and its reads have failed for `failing` until now: what it
 * knows of an outage holds here too, should this VM be the next to read.
 */
void recordPeerListRead(TargetTable &book, Instant readAt, Duration failing, Instant now);

/**
 * True if what is known of the list is so old that a target may have left without notice: the VM
 * that reads it for others is slow, or its word is late.
 */
bool isListStale(const TargetTable &book, Instant now) noexcept;

void recordListed(TargetTable &book, TargetEntry entry);
void recordRemoved(TargetTable &book, const std::string &id, Instant now);

/**
 * Takes a whole list: what it lacks was removed. `unreadable`: ids that are in it with an entry
 * that tells nothing, so that what was known of them holds.
 */
void recordFullList(TargetTable &book, std::vector<TargetEntry> entries,
                    const std::vector<std::string> &unreadable, Instant now);

/** Forgets what has been gone for good; returns the ids that went. */
std::vector<std::string> dropGone(TargetTable &book, Instant now);

/** True if the target was dropped within the last minute, and not listed since. */
bool wasDropped(const TargetTable &book, const std::string &id);

/** True if new work may be sent to this target. */
bool mayTakeWork(const TargetRecord &record) noexcept;

} // namespace monsoonbay
