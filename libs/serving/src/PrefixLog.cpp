#include "serving/PrefixLog.h"

#include <algorithm>

namespace monsoonbay {

namespace {

bool isForReader(const LoggedPrefix &entry, const PrefixReader &reader)
{
    if (reader.relay)
        return entry.source == PrefixSource::Own;
    if (!reader.zonePeer)
        return entry.source != PrefixSource::Elsewhere;
    return reader.sourceVm == 0 || entry.sourceVm != reader.sourceVm;
}

void dropExpired(PrefixLog &log, Instant now)
{
    while (!log.entries.empty() && now - log.entries.front().at > prefixLogRetention)
        log.entries.pop_front();
}

} // namespace

void logPrefix(PrefixLog &log, const PrefixRead &read, PrefixSource source, std::uint64_t sourceVm,
               Instant now)
{
    dropExpired(log, now);
    if (log.entries.size() == maxPrefixLogEntries)
        log.entries.pop_front();
    log.entries.push_back({++log.last, read, source, sourceVm, now});
}

std::vector<PrefixRead> prefixesFor(const PrefixLog &log, const PrefixReader &reader, Instant now)
{
    std::vector<PrefixRead> result;
    for (auto entry = log.entries.rbegin(); entry != log.entries.rend(); ++entry) {
        const bool isPast = entry->number <= reader.seen || now - entry->at > prefixLogRetention;
        if (isPast || result.size() == maxPrefixesPerMessage)
            break;
        if (isForReader(*entry, reader))
            result.push_back(entry->read);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace monsoonbay
