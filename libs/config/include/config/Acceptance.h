#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/Manifest.h"

namespace monsoonbay {

/**
 * Identifies one accepted manifest. Its offset tells it apart from an older manifest with the same
 * contents.
 */
struct ManifestMark
{
    std::uint64_t offset = 0; ///< 0: nothing accepted yet
    std::string digest;

    auto operator<=>(const ManifestMark &) const = default;
};

/** A record of the manifest stream in the log. */
struct ManifestRecord
{
    std::uint64_t offset = 0;
    std::string body;

    auto operator<=>(const ManifestRecord &) const = default;
};

/** Outcome of a record; all VMs come to the same one. */
enum class RecordVerdict {
    Accepted,
    Duplicate, ///< the record accepted last, appended again
    Conflict, ///< based on another manifest than the one in force
    Invalid,
    Dangerous, ///< drops too much without an acknowledgement
    Snapshot, ///< a copy of accepted state; no effect on a reader that has that state
    NoBase, ///< the reader needs a snapshot before it can evaluate the record
    Old, ///< evaluated before
};

std::string_view verdictName(RecordVerdict verdict) noexcept;

/** The outcome of one record, with the reasons. */
struct JudgedRecord
{
    std::uint64_t offset = 0;
    RecordVerdict verdict = RecordVerdict::Old;
    std::vector<Problem> problems;
    ManifestMark mark; ///< in force after this record
};

/**
 * The state that results from applying the manifest stream in order. Its offsets only grow,
 * whatever the source of records.
 */
struct AcceptedManifest
{
    Manifest manifest;
    ManifestMark mark;
    std::uint64_t readThrough = 0; ///< every manifest record up to here has been evaluated
    std::uint64_t lastBodyHash = 0; ///< of the record accepted last
    bool based = false; ///< the state is complete: read from the start of the log, or a snapshot
};

/** Evaluates the next record and applies it if it is accepted. */
JudgedRecord judge(AcceptedManifest &state, const ManifestRecord &record);

/**
 * Records that the first retained offset of the log is `first`. A reader that starts with an
 * untruncated log has a complete (empty) base; otherwise it needs a snapshot.
 */
void recordLogStart(AcceptedManifest &state, std::uint64_t first);

/** Body of a snapshot record of this state. */
std::string writeSnapshot(const AcceptedManifest &state);

/** Replaces the state by a snapshot if that is valid and newer; true if it was replaced. */
bool adoptSnapshot(AcceptedManifest &state, std::string_view body);

/** Body of a record that publishes a whole manifest or a delta. */
std::string writePublication(std::string_view kind, const ManifestMark &base,
                             const std::vector<std::string> &acknowledge, std::string_view content);

} // namespace monsoonbay
