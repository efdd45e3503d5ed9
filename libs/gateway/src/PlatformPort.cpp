#include "gateway/PlatformPort.h"

#include <map>

namespace monsoonbay {

namespace {

// Plug-ins register before main, in an order that is not defined between translation units. A
// function-local static is constructed on the first call, whichever comes first.
std::map<std::string_view, PlatformPort> &registry()
{
    static std::map<std::string_view, PlatformPort> ports;
    return ports;
}

} // namespace

void registerPlatform(const PlatformPort &port)
{
    registry()[port.name] = port;
}

const PlatformPort *findPlatform(std::string_view name)
{
    const auto found = registry().find(name);
    return found == registry().end() ? nullptr : &found->second;
}

std::vector<std::string> platformNames()
{
    std::vector<std::string> names;
    for (const auto &[name, port] : registry())
        names.emplace_back(name);
    return names;
}

} // namespace monsoonbay
