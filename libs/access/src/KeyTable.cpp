#include "access/KeyTable.h"

#include <algorithm>
#include <bit>
#include <set>
#include <span>

#include "core/Digest.h"

namespace monsoonbay {

namespace {

constexpr std::size_t loggedDigits = 8;

std::uint32_t indexOf(KeyTable &table, const std::string &name)
{
    const auto [found, added] =
        table.indexByName.try_emplace(name, static_cast<std::uint32_t>(table.names.size()));
    if (added)
        table.names.push_back(name);
    return found->second;
}

const Workspace *findByName(const std::vector<Workspace> &workspaces, const Workspace &like,
                            std::size_t likelyIndex)
{
    if (likelyIndex < workspaces.size() && workspaces[likelyIndex].name == like.name)
        return &workspaces[likelyIndex];
    const auto found =
        std::find_if(workspaces.begin(), workspaces.end(),
                     [&like](const Workspace &other) { return other.name == like.name; });
    return found == workspaces.end() ? nullptr : &*found;
}

/** Keys of `workspace` that `other`, which may be null, does not have. */
std::vector<std::string_view> keysNotIn(const Workspace &workspace, const Workspace *other)
{
    std::span<const std::string> keys(workspace.keys);
    std::span<const std::string> others;
    if (other != nullptr)
        others = other->keys;
    // Skip the unchanged keys at both ends of the lists, which are all but a few.
    while (!keys.empty() && !others.empty() && keys.front() == others.front()) {
        keys = keys.subspan(1);
        others = others.subspan(1);
    }
    while (!keys.empty() && !others.empty() && keys.back() == others.back()) {
        keys = keys.first(keys.size() - 1);
        others = others.first(others.size() - 1);
    }
    const std::set<std::string_view> shared(others.begin(), others.end());
    std::vector<std::string_view> missing;
    for (const std::string &key : keys) {
        if (shared.count(key) == 0)
            missing.push_back(key);
    }
    return missing;
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    return std::bit_cast<KeyDigest>(sha256(key));
}

std::string shortText(const KeyDigest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t digit = 0; digit < loggedDigits; ++digit)
        text += digits[(digest.words[1] >> (4 * digit)) & 15];
    return text;
}

// A key may move from one workspace to another in one change, so all removals come before
// additions.
KeyChanges updateKeys(KeyTable &table, const std::vector<Workspace> &before,
                      const std::vector<Workspace> &after)
{
    KeyChanges changes;
    for (std::size_t index = 0; index < before.size(); ++index) {
        const Workspace &held = before[index];
        for (const std::string_view key : keysNotIn(held, findByName(after, held, index))) {
            const auto found = table.workspaceByKey.find(digestOfKey(key));
            if (found == table.workspaceByKey.end() || table.names[found->second] != held.name)
                continue;
            table.workspaceByKey.erase(found);
            ++changes.removed;
        }
    }
    for (std::size_t index = 0; index < after.size(); ++index) {
        const Workspace &holder = after[index];
        for (const std::string_view key : keysNotIn(holder, findByName(before, holder, index))) {
            if (key.empty())
                continue;
            table.workspaceByKey[digestOfKey(key)] = indexOf(table, holder.name);
            ++changes.added;
        }
    }
    return changes;
}

// Lookup and comparison use the digest, so the time they take reveals nothing about the keys.
const std::string *workspaceOf(const KeyTable &table, const KeyDigest &key)
{
    const auto found = table.workspaceByKey.find(key);
    return found == table.workspaceByKey.end() ? nullptr : &table.names[found->second];
}

} // namespace monsoonbay
