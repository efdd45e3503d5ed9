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

/** Limits of the records of Idempotency-Keys. */
struct KeyRecordConfig
{
    Duration lifetime = std::chrono::minutes(10); ///< a record is kept this long after the run
    std::size_t maxRecords = 200000;
    std::size_t maxAnswerBytes = 64 * 1024; ///< larger answers are kept without their body
};

/** The answer to a request, kept for retries by the caller. */
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
    Reserved, ///< held for this request
    Running, ///< held for another request
    Done,
    Conflict, ///< used for a request with another fingerprint
    Full, ///< no capacity for another record
};

/** A holder's reply about a key. */
struct KeyReply
{
    KeyState state = KeyState::Absent;
    bool knows = false; ///< this holder would know of an earlier run
    StoredAnswer answer;
};

/** Identifies a request and its key. */
struct KeyRequest
{
    std::uint64_t keyHash = 0; ///< of service and key
    std::uint64_t fingerprint = 0; ///< of method, path and body
    std::uint64_t requestId = 0;
};

/** Key records that one entry VM holds, and the views of alive VMs that made it a holder. */
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

/** Sets the alive VMs; a holder knows of a key only after it was its holder for a lifetime. */
void updateAliveVms(KeyRecords &keys, const std::vector<VmId> &alive, Instant now);

/** Reserves a key for a request, unless it is in use. */
KeyReply reserveKey(KeyRecords &keys, const KeyRequest &request, Instant now);

/** Records the answer of the request that holds the key. */
void completeKey(KeyRecords &keys, const KeyRequest &request, const StoredAnswer &answer,
                 Instant now);

/** Frees a key that was reserved for a request that did not run. */
void releaseKey(KeyRecords &keys, const KeyRequest &request);

/** Drops expired records. */
void expireKeys(KeyRecords &keys, Instant now);

/** What the replies of all holders together allow. */
enum class KeyDecision : std::uint8_t {
    Run,
    Replay,
    RefuseInUse,
    RefuseConflict,
    RefuseUnknown,
};

/**
 * Decides by the replies of the holders that could be reached. The request may run only if no
 * holder has a record of the key and at least one would have it: if the holders have just started,
 * or none is left, the record of an earlier run may be lost.
 */
KeyDecision decideKey(const std::vector<KeyReply> &replies);

} // namespace monsoonbay
