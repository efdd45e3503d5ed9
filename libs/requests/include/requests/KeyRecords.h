#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Bounds of the memory of Idempotency-Keys. */
struct KeyRecordConfig
{
    Duration lifetime = std::chrono::minutes(10); ///< a key is remembered so long after its run
    std::size_t maxRecords = 200000;
    std::size_t maxAnswerBytes = 64 * 1024; ///< larger answers are remembered without their body
};

/** The answer to a request, kept for the caller's repeats. */
struct StoredAnswer
{
    ErrorKind kind = ErrorKind::Ok;
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyStored = false;

    auto operator<=>(const StoredAnswer &) const = default;
};

enum class KeyState : std::uint8_t {
    Absent,
    Reserved, ///< now held for the asker
    Running, ///< held for another request
    Done,
    Conflict, ///< used for a different request
    Full, ///< no room to remember one more
};

/** What a holder answers. */
struct KeyReply
{
    KeyState state = KeyState::Absent;
    bool knows = false; ///< this holder would know of an earlier run
    StoredAnswer answer;
};

/** Names one caller's request. */
struct KeyRequest
{
    std::uint64_t keyHash = 0; ///< of service and key
    std::uint64_t fingerprint = 0; ///< of method, path and body
    std::uint64_t requestId = 0;
};

/** The records that one entry VM holds, and how long it has been a holder. */
struct KeyRecords
{
    struct Record
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t requestId = 0;
        bool done = false;
        StoredAnswer answer;
        Instant expires{};
    };
    /** The entry VMs that were alive from `since` on. */
    struct View
    {
        Instant since{};
        std::vector<VmId> alive;
    };

    KeyRecordConfig config;
    VmId self;
    std::unordered_map<std::uint64_t, Record> records;
    std::deque<View> views;
};

constexpr std::size_t keyHolderCount = 2;

KeyRecords makeKeyRecords(const KeyRecordConfig &config, VmId self, Instant now);

/** The entry VMs that hold the record of a key: the two with the highest rendezvous scores. */
std::vector<VmId> keyHolders(std::uint64_t keyHash, const std::vector<VmId> &alive);

/** Tells who is alive now; a holder knows of a key only if it has held it for a lifetime. */
void updateAliveVms(KeyRecords &keys, const std::vector<VmId> &alive, Instant now);

/** Reserves a key for a request, unless it was used. */
KeyReply reserveKey(KeyRecords &keys, const KeyRequest &request, Instant now);

/** Notes how the request that holds the key ended; "not run" frees the key. */
void completeKey(KeyRecords &keys, const KeyRequest &request, const StoredAnswer &answer,
                 Instant now);

/** Frees a key that was reserved for a request that did not run. */
void releaseKey(KeyRecords &keys, const KeyRequest &request);

/** Drops records that are past their lifetime. */
void expireKeys(KeyRecords &keys, Instant now);

/** What the holders' replies together allow. */
enum class KeyDecision : std::uint8_t {
    Run,
    Replay,
    RefuseInUse,
    RefuseConflict,
    RefuseUnknown,
};

/**
 * Decides from the replies of the holders that could be reached. It may run only if nobody saw the
 * key before and at least one holder would know: a holder that has just started, or both gone,
 * means that a run may have been forgotten.
 */
KeyDecision decideKey(const std::vector<KeyReply> &replies);

} // namespace monsoonbay
