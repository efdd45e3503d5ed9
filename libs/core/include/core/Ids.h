#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace monsoonbay {

/** 64-bit hash of a text; stable across processes, versions and machines. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0) noexcept;

/** Id derived from a name by stableHash; the tag makes ids of different things distinct types. */
template <typename Tag> struct Id
{
    std::uint64_t value = 0;

    auto operator<=>(const Id &) const = default;

    static Id of(std::string_view name) noexcept
    {
        return Id{stableHash(name)};
    }
};

using AdapterId = Id<struct AdapterTag>;
using TargetId = Id<struct TargetTag>;
using VmId = Id<struct VmTag>;
using ServiceId = Id<struct ServiceTag>;

/** An adapter in one version, as named by callers: "name@version". */
struct AdapterRef
{
    std::string name;
    std::string version;

    auto operator<=>(const AdapterRef &) const = default;

    std::string text() const
    {
        return this->name + "@" + this->version;
    }

    AdapterId id() const
    {
        return AdapterId::of(this->text());
    }
};

/** Splits "name@version" at the last '@'; both parts are empty if the text is malformed. */
AdapterRef parseAdapterRef(std::string_view text);

/** Rendezvous (highest random weight) score of a candidate for a key. */
std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t candidate) noexcept;

} // namespace monsoonbay

template <typename Tag> struct std::hash<monsoonbay::Id<Tag>>
{
    std::size_t operator()(const monsoonbay::Id<Tag> &id) const noexcept
    {
        return static_cast<std::size_t>(id.value);
    }
};
