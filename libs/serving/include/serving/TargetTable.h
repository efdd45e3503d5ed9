#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "serving/TargetEntry.h"

namespace monsoonbay {

/** What this VM knows about one target. */
struct TargetRecord
{
    TargetEntry entry;
    bool removed = false; ///< its entry was removed while the list could be read
    Instant expiredAt{}; ///< when the entry was found missing after an outage of the store; zero:
                         ///< it is there

    auto operator<=>(const TargetRecord &) const = default;
};

/** The platform's list of targets as last seen by this VM. */
struct TargetTable
{
    std::unordered_map<std::string, TargetRecord> records;
    std::unordered_map<std::string, Instant> removedAt; ///< recently removed targets
    Instant lastReadAt{}; ///< last read of the list by any VM; zero: never
    Instant lastOwnReadAt{}; ///< last read by this VM
    Instant failingSince{}; ///< reads have failed since then; zero: the last one succeeded
    Instant outageEndedAt{}; ///< when the list became readable again after an outage
};

/**
 * After failed reads for this long, missing entries may have expired, as the targets could not
 * renew them either. The shortest expiry is three heartbeats of 1.2 s; this value is well below it.
 */
constexpr Duration outageThreshold = std::chrono::milliseconds(1800);

/**
 * The platform guarantees that live targets are listed again within two seconds of an outage's end.
 */
constexpr Duration relistGrace = std::chrono::milliseconds(2200);

/**
 * The list is read every 0.7 s and passed on within 0.2 s. This bound leaves time for a read of
 * one's own, so that a leaving target gets no new work 2 s after it says so.
 */
constexpr Duration maxListAge = std::chrono::milliseconds(1100);

/** This VM has read the list at `now`. Call before applying the changes from that read. */
void recordListRead(TargetTable &table, Instant now);

/** A read of the list by this VM failed. */
void recordListFailure(TargetTable &table, Instant now);

/**
 * Another VM read the list at `readAt`, and its reads have failed for the last `failing`. Its
 * knowledge of an outage is kept in case this VM is the next one to read.
 */
void recordPeerListRead(TargetTable &table, Instant readAt, Duration failing, Instant now);

/**
 * True if the list is so old that a target may have left unnoticed, because the VM that reads it
 * for others is slow or its updates are late.
 */
bool isListStale(const TargetTable &table, Instant now) noexcept;

void recordListed(TargetTable &table, TargetEntry entry);
void recordRemoved(TargetTable &table, const std::string &id, Instant now);

/**
 * Applies a complete list: targets missing in it were removed. `unreadable` are the ids of entries
 * that could not be parsed; what is known of those targets is kept.
 */
void recordFullList(TargetTable &table, std::vector<TargetEntry> entries,
                    const std::vector<std::string> &unreadable, Instant now);

/** Removes targets that are gone for good and returns their ids. */
std::vector<std::string> removeGone(TargetTable &table, Instant now);

/** True if the target was removed within the last minute and has not been listed since. */
bool wasRemoved(const TargetTable &table, const std::string &id);

/** True if new work may be sent to this target. */
bool mayTakeWork(const TargetRecord &record) noexcept;

} // namespace monsoonbay
