#pragma once

#include <optional>
#include <vector>

#include "config/Settings.h"

namespace monsoonbay {

/**
 * The first of the endpoints whose port is taken, so that nobody else can listen there now;
 * nullopt: there is none. Other errors, such as an address of another machine, show when a server
 * listens.
 */
std::optional<Endpoint> findTakenPort(const std::vector<Endpoint> &endpoints);

} // namespace monsoonbay
