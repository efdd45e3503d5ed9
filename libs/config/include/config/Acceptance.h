#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/Manifest.h"

namespace monsoonbay {

/** Names one accepted manifest. The offset keeps a return to older contents apart from them. */
struct ManifestMark
{
    std::uint64_t offset = 0; ///< 0: nothing accepted yet
    std::string digest;

    auto operator<=>(const ManifestMark &) const = default;
};

/** A record of the log's manifest stream. */
struct ManifestRecord
{
    std::uint64_t offset = 0;
    std::string body;

    auto operator<=>(const ManifestRecord &) const = default;
};

/** What became of a record; the same on every VM. */
enum class RecordVerdict {
    Accepted,
    Duplicate, ///< the record accepted last, appended once more
    Conflict, ///< made from another manifest than the one in force
    Invalid,
    Dangerous, ///< drops too much without acknowledging it
    Snapshot, ///< a copy of accepted state; changes nothing for those who have it
    NoBase, ///< cannot be judged here before a snapshot was taken
    Old, ///< judged before
};

std::string_view verdictName(RecordVerdict verdict) noexcept;

/** Verdict on one record with its reasons. */
struct JudgedRecord
{
    std::uint64_t offset = 0;
    RecordVerdict verdict = RecordVerdict::Old;
    std::vector<Problem> problems;
    ManifestMark mark; ///< in force after this record
};

/** The fold over the manifest stream. Offsets only grow, whatever the source of records. */
struct AcceptedManifest
{
    Manifest manifest;
    ManifestMark mark;
    std::uint64_t readThrough = 0; ///< every manifest record up to here is judged
    std::uint64_t lastBodyHash = 0;
    bool based = false; ///< the state is complete: read from the log's start, or a snapshot
};

/** Judges the next record and applies it if accepted. */
JudgedRecord judge(AcceptedManifest &state, const ManifestRecord &record);

/**
 * Tells that the log's first retained offset is `first`. A reader at the very start of an
 * untruncated log has a complete (empty) base; one that comes later needs a snapshot.
 */
void noteLogStart(AcceptedManifest &state, std::uint64_t first);

/** Body of a snapshot record of this state. */
std::string writeSnapshot(const AcceptedManifest &state);

/** Takes a snapshot's state if it is newer than what is held; never goes back. */
bool adoptSnapshot(AcceptedManifest &state, std::string_view body);

/** Body of a record that publishes a whole manifest, or a delta. */
std::string writePublication(std::string_view kind, const ManifestMark &base,
                             const std::vector<std::string> &acknowledge, std::string_view content);

} // namespace monsoonbay
