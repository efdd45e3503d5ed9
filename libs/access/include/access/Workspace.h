#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

/** A workspace in the configuration: its API keys and its limits. */
struct Workspace
{
    std::string name;
    std::vector<std::string> keys; ///< secrets; never logged or sent to peers or targets
    std::optional<int> priority; ///< of its calls, overrides that of their routes; 0 is the most
                                 ///< urgent
    WorkspaceLimit limit;

    auto operator<=>(const Workspace &) const = default;
};

} // namespace monsoonbay
