#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "serving/ChangeLog.h"
#include "serving/EngineRecord.h"

namespace monsoonbay {

/** What changed of an engine's record since a reader last heard of it, or the whole record. */
struct EngineChange
{
    EngineRecord
        record; ///< if it is not whole: of `resident`, what was added or has other versions
    bool isSnapshot = true;
    bool sameHeader = false; ///< holder, start and models are those that the reader knows
    std::vector<std::string> removed; ///< adapters that are no longer there
    std::uint64_t digest = 0; ///< of head and slots as they have to be then

    bool operator==(const EngineChange &) const = default;
};

/** Digest of what a change does not always tell: holder, start, models and residents. */
std::uint64_t digestOf(const EngineRecord &record);

/**
 * The record that a change makes of the known one; nothing if the reader knows another one than the
 * change is of, and has to be told the whole.
 */
std::optional<EngineRecord> applyDocumentDelta(const EngineRecord *known,
                                               const EngineChange &change);

/**
 * Engines' records, each with the number of its last change, and with those of its slots.
 *
 * A record has a slot for each adapter, and loads change one at a time: told whole to all VMs each
 * time, they take most of a relay's link.
 */
class EngineLog
{
public:
    using Records = ChangeLog<std::string, EngineRecord>;

    const EngineRecord *find(const std::string &target) const
    {
        return this->records.find(target);
    }

    /** Sets a record; false, and no change, if it is what was there. */
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

    /** What changed of a known record after `seen`. */
    EngineChange changeSince(const std::string &target, std::uint64_t seen) const;

private:
    /** Numbers of the last changes of parts of one record. */
    struct Parts
    {
        std::uint64_t wholeSince = 0; ///< who has seen less is told the whole record
        std::uint64_t head = 0;
        std::uint64_t digest = 0; ///< of the record, as each reader is told it
        std::map<std::string, std::uint64_t> there; ///< by adapter
        std::map<std::string, std::uint64_t> gone;
    };

    static void recordSlotChanges(Parts &parts, const EngineRecord &before,
                                  const EngineRecord &after, std::uint64_t number);

    Records records;
    std::map<std::string, Parts> parts;
};

} // namespace monsoonbay
