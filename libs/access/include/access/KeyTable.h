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

/** SHA-256 of a caller's key. */
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

/** Tells keys apart in logs, and gives none away. */
std::string shortText(const KeyDigest &digest);

/** Which workspace each key belongs to. About 80 bytes a key. */
struct KeyTable
{
    std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> workspaceByKey;
    std::vector<std::string> names; ///< of workspaces; a place is never used again
    std::unordered_map<std::string, std::uint32_t> indexByName;
};

/** What a change of the configuration did to keys. */
struct KeyChanges
{
    int added = 0;
    int taken = 0;

    auto operator<=>(const KeyChanges &) const = default;
};

/** Brings the table from one configuration to the next; costs what differs, not what there is. */
KeyChanges updateKeys(KeyTable &table, const std::vector<Workspace> &before,
                      const std::vector<Workspace> &after);

/** The workspace that holds the key; null if none does. */
const std::string *workspaceOf(const KeyTable &table, const KeyDigest &key);

} // namespace monsoonbay
