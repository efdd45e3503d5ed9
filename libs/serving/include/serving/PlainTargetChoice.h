#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonbay {

/** What a VM knows of a target without adapters. */
struct PlainTargetView
{
    std::string id;
    std::string zone;
    int slots = 1;
    int runs = 0; ///< own calls under way there
    bool usable = true; ///< neither leaving nor ejected

    auto operator<=>(const PlainTargetView &) const = default;
};

/**
 * The target with the fewest own calls for its slots; one in the own zone goes first, as bytes
 * between zones are paid for. `draw` breaks ties, so that VMs do not all choose the same one.
 */
std::optional<std::size_t> choosePlainTarget(const std::vector<PlainTargetView> &targets,
                                             const std::string &zone,
                                             const std::vector<std::string> &tried,
                                             std::uint64_t draw);

} // namespace monsoonbay
