#include "ConfigReaders.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** With two, all VMs of a zone are a few hops away, and one link carries little at a time. */
constexpr std::size_t maxActiveReaders = 2;
/** An active reader asks again within some 100 ms; one silent for longer than this has stopped. */
constexpr Duration readerTimeout = std::chrono::milliseconds(1000);

bool isActive(const ConfigReader &reader, Instant now)
{
    return !reader.done && now - reader.askedAt <= readerTimeout;
}

std::size_t activeReaders(const ConfigReaders &readers, Instant now)
{
    return static_cast<std::size_t>(
        std::count_if(readers.served.begin(), readers.served.end(),
                      [now](const ConfigReader &reader) { return isActive(reader, now); }));
}

ConfigReader *find(ConfigReaders &readers, const Endpoint &vm)
{
    const auto found = std::find_if(readers.served.begin(), readers.served.end(),
                                    [&vm](const ConfigReader &reader) { return reader.vm == vm; });
    return found == readers.served.end() ? nullptr : &*found;
}

/** Another reader of the requesting VM's zone, active or done; nothing if there is none. */
std::optional<Endpoint> nextRedirectTarget(ConfigReaders &readers, const ConfigPartRequest &request,
                                           Instant now)
{
    for (std::size_t tried = 0; tried < readers.served.size(); ++tried) {
        const ConfigReader &next = readers.served[readers.nextRedirect % readers.served.size()];
        ++readers.nextRedirect;
        const bool isOther = next.vm != request.reader && next.zone == request.zone;
        if (isOther && (next.done || isActive(next, now)))
            return next.vm;
    }
    return std::nullopt;
}

} // namespace

std::optional<Endpoint> redirectFor(ConfigReaders &readers, const ConfigPartRequest &request,
                                    Instant now)
{
    if (readers.version != request.version) {
        readers = ConfigReaders();
        readers.version = request.version;
    }
    ConfigReader *const known = find(readers, request.reader);
    const bool isServed = known != nullptr && isActive(*known, now);
    if (!isServed && !request.noRedirect && activeReaders(readers, now) >= maxActiveReaders) {
        std::optional<Endpoint> other = nextRedirectTarget(readers, request, now);
        if (other)
            return other;
    }
    if (known == nullptr)
        readers.served.push_back({request.reader, request.zone, now, false});
    else
        *known = {request.reader, request.zone, now, false};
    return std::nullopt;
}

void recordPartSent(ConfigReaders &readers, const ConfigPartRequest &request, bool last,
                    Instant now)
{
    if (readers.version != request.version)
        return;
    ConfigReader *const known = find(readers, request.reader);
    if (known == nullptr)
        return;
    known->askedAt = now;
    known->done = last;
}

} // namespace monsoonbay
