#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonbay {

/** What a VM knows about a target without adapters. */
struct PlainTargetView
{
    std::string id;
    std::string zone;
    int slots = 1;
    int runs = 0; ///< calls of this VM running there
    bool usable = true; ///< neither leaving nor ejected

    auto operator<=>(const PlainTargetView &) const = default;
};

/**
 * Chooses the target with the fewest calls of this VM per slot, preferring the VM's own zone, as
 * traffic between zones costs money. `draw` breaks ties at random, so that VMs do not all choose
 * the same target.
 */
std::optional<std::size_t> choosePlainTarget(const std::vector<PlainTargetView> &targets,
                                             const std::string &zone,
                                             const std::vector<std::string> &tried,
                                             std::uint64_t draw);

} // namespace monsoonbay
