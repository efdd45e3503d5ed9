#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

/** A workspace as the configuration has it: who may call, and how much. */
struct Workspace
{
    std::string name;
    std::vector<std::string> keys; ///< secrets; they go to no log, peer or target
    std::optional<int> priority; ///< of its calls, before their routes'; 0 goes first
    WorkspaceLimit limit;

    auto operator<=>(const Workspace &) const = default;
};

} // namespace monsoonbay
