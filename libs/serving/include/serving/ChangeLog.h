#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace monsoonbay {

/** Sequence number shared by all change logs of a VM, so that one number is a reader's position. */
struct ChangeCounter
{
    std::uint64_t last = 0;
};

/** Values by key, each with the sequence number of its last change; readers get what is newer. */
template <typename Key, typename Value> class ChangeLog
{
public:
    struct Entry
    {
        Value value;
        std::uint64_t changedAt = 0;
    };

    /** Null if the key is absent. */
    const Value *find(const Key &key) const
    {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? nullptr : &found->second.value;
    }

    /** Sets a value; returns false and counts no change if it equals the current one. */
    bool set(const Key &key, Value value, ChangeCounter &counter)
    {
        const auto [found, added] = this->entries.try_emplace(key);
        if (!added && found->second.value == value)
            return false;
        found->second.value = std::move(value);
        found->second.changedAt = ++counter.last;
        return true;
    }

    void erase(const Key &key)
    {
        this->entries.erase(key);
    }

    const std::map<Key, Entry> &all() const noexcept
    {
        return this->entries;
    }

    /** Calls `visit(key, value)` for all values that changed after `seen`. */
    template <typename Visit> void since(std::uint64_t seen, Visit visit) const
    {
        this->between(seen, std::numeric_limits<std::uint64_t>::max(), visit);
    }

    /** Calls `visit(key, value)` for all values whose last change is in (`seen`, `through`]. */
    template <typename Visit>
    void between(std::uint64_t seen, std::uint64_t through, Visit visit) const
    {
        for (const auto &[key, entry] : this->entries) {
            if (entry.changedAt <= seen || entry.changedAt > through)
                continue;
            visit(key, entry.value);
        }
    }

    /** Appends the sequence numbers of all last changes after `seen`, unordered. */
    void numbersSince(std::uint64_t seen, std::vector<std::uint64_t> &numbers) const
    {
        for (const auto &[key, entry] : this->entries) {
            if (entry.changedAt > seen)
                numbers.push_back(entry.changedAt);
        }
    }

private:
    std::map<Key, Entry> entries;
};

} // namespace monsoonbay
