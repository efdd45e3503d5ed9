#include "serving/PrefixLog.h"

#include <algorithm>

namespace monsoonbay {

namespace {

bool isFor(const LoggedPrefix &entry, const PrefixReader &reader)
{
    if (reader.relay)
        return entry.source == PrefixSource::Own;
    if (!reader.mate)
        return entry.source != PrefixSource::Elsewhere;
    return reader.teller == 0 || entry.teller != reader.teller;
}

void dropOld(PrefixLog &log, Instant now)
{
    while (!log.entries.empty() && now - log.entries.front().at > prefixToldFor)
        log.entries.pop_front();
}

} // namespace

void logPrefix(PrefixLog &log, const PrefixRead &read, PrefixSource source, std::uint64_t teller,
               Instant now)
{
    dropOld(log, now);
    if (log.entries.size() == mostPrefixesLogged)
        log.entries.pop_front();
    log.entries.push_back({++log.last, read, source, teller, now});
}

std::vector<PrefixRead> prefixesFor(const PrefixLog &log, const PrefixReader &reader, Instant now)
{
    std::vector<PrefixRead> told;
    for (auto entry = log.entries.rbegin(); entry != log.entries.rend(); ++entry) {
        const bool over = entry->number <= reader.seen || now - entry->at > prefixToldFor;
        if (over || told.size() == mostPrefixesTold)
            break;
        if (isFor(*entry, reader))
            told.push_back(entry->read);
    }
    std::sort(told.begin(), told.end());
    return told;
}

} // namespace monsoonbay
