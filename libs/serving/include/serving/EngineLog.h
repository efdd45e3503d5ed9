#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "serving/ChangeLog.h"
#include "serving/EngineRecord.h"

namespace monsoonbay {

/** Changes of an engine's record since a reader's last update (a delta), or the whole record. */
struct EngineChange
{
    EngineRecord record; ///< in a delta, `resident` has only new adapters and changed versions
    bool isSnapshot = true;
    bool sameHeader = false; ///< holder, start time and models are unchanged, and left out
    std::vector<std::string> removed; ///< adapters that are no longer resident
    std::uint64_t digest = 0; ///< digestOf() the record with the changes applied

    bool operator==(const EngineChange &) const = default;
};

/** Digest of the fields that a delta may leave out: holder, start time, models and residents. */
std::uint64_t digestOf(const EngineRecord &record);

/**
 * Applies a change to the known record; nullopt if the change was made for another one, so that the
 * reader has to be sent the whole record.
 */
std::optional<EngineRecord> applyDocumentDelta(const EngineRecord *known,
                                               const EngineChange &change);

/**
 * Engines' records, with the sequence numbers of the last changes of each record and its slots.
 *
 * A record has a slot for each adapter, and a load changes one of them. If whole records were sent
 * to all VMs each time, they would take most of a relay's bandwidth.
 */
class EngineLog
{
public:
    using Records = ChangeLog<std::string, EngineRecord>;

    const EngineRecord *find(const std::string &target) const
    {
        return this->records.find(target);
    }

    /** Sets a record; returns false and counts no change if it equals the current one. */
    bool set(const std::string &target, EngineRecord record, ChangeCounter &counter);
    void erase(const std::string &target);

    const std::map<std::string, Records::Entry> &all() const noexcept
    {
        return this->records.all();
    }

    template <typename Visit> void since(std::uint64_t seen, Visit visit) const
    {
        this->records.since(seen, visit);
    }

    template <typename Visit>
    void between(std::uint64_t seen, std::uint64_t through, Visit visit) const
    {
        this->records.between(seen, through, visit);
    }

    void numbersSince(std::uint64_t seen, std::vector<std::uint64_t> &numbers) const
    {
        this->records.numbersSince(seen, numbers);
    }

    /** Changes of a record after `seen`; `target` has to be in the log. */
    EngineChange changeSince(const std::string &target, std::uint64_t seen) const;

private:
    /** Sequence numbers of the last changes of parts of one record. */
    struct Parts
    {
        std::uint64_t wholeSince = 0; ///< readers that have seen less get the whole record
        std::uint64_t head = 0; ///< holder, start time and models
        std::uint64_t digest = 0; ///< of the current record, sent with every delta
        std::map<std::string, std::uint64_t> there; ///< by adapter
        std::map<std::string, std::uint64_t> gone;
    };

    static void recordSlotChanges(Parts &parts, const EngineRecord &before,
                                  const EngineRecord &after, std::uint64_t number);

    Records records;
    std::map<std::string, Parts> parts;
};

} // namespace monsoonbay
