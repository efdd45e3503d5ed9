#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "access/Workspace.h"

namespace monsoonbay {

/** SHA-256 of a caller's API key. */
struct KeyDigest
{
    std::array<std::uint64_t, 4> words{};

    auto operator<=>(const KeyDigest &) const = default;
};

struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const noexcept
    {
        return digest.words[0];
    }
};

KeyDigest digestOfKey(std::string_view key);

/** Identifies a key in logs without revealing it. */
std::string shortText(const KeyDigest &digest);

/** Maps API keys to workspaces. About 80 bytes per key. */
struct KeyTable
{
    std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> workspaceByKey;
    std::vector<std::string> names; ///< of workspaces; indices are never reused
    std::unordered_map<std::string, std::uint32_t> indexByName;
};

/** Effect of a configuration change on keys. */
struct KeyChanges
{
    int added = 0;
    int removed = 0;

    auto operator<=>(const KeyChanges &) const = default;
};

/**
 * Updates the table from one configuration to the next. The cost depends on the size of the
 * difference, not of the configurations.
 */
KeyChanges updateKeys(KeyTable &table, const std::vector<Workspace> &before,
                      const std::vector<Workspace> &after);

/** The workspace that owns the key; null if there is none. */
const std::string *workspaceOf(const KeyTable &table, const KeyDigest &key);

} // namespace monsoonbay
