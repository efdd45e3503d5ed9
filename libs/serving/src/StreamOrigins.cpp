#include "serving/StreamOrigins.h"

#include <algorithm>

#include "core/Ids.h"

namespace monsoonbay {

namespace {

void dropOldest(StreamOrigins &origins)
{
    origins.byId.erase(origins.order.front().second);
    origins.order.pop_front();
}

} // namespace

StreamId streamIdOf(std::string_view attemptId) noexcept
{
    return stableHash(attemptId);
}

void recordOrigin(StreamOrigins &origins, StreamId id, StreamOrigin origin, Instant now)
{
    const auto [known, added] = origins.byId.try_emplace(id, origin);
    if (!added && known->second.software == origin.software)
        known->second.until = std::max(known->second.until, origin.until);
    if (!added)
        return;
    origins.order.emplace_back(now, id);
    if (origins.byId.size() > maxStreamOrigins)
        dropOldest(origins);
}

void forgetOrigins(StreamOrigins &origins, Instant now)
{
    while (!origins.order.empty()) {
        const auto oldest = origins.byId.find(origins.order.front().second);
        if (oldest->second.until > now)
            return;
        dropOldest(origins);
    }
}

std::optional<std::string> originOf(const StreamOrigins &origins, StreamId id, Instant now)
{
    const auto found = origins.byId.find(id);
    if (found == origins.byId.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.software;
}

std::vector<std::size_t> chooseReplicas(StreamId id, const std::vector<std::string> &names,
                                        std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(names.size());
    for (std::size_t index = 0; index < names.size(); ++index)
        ranked.emplace_back(stableHash(names[index], id), index);
    const std::size_t replicaCount = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(replicaCount),
                      ranked.end(), std::greater<>());
    std::vector<std::size_t> replicas;
    for (std::size_t position = 0; position < replicaCount; ++position)
        replicas.push_back(ranked[position].second);
    return replicas;
}

} // namespace monsoonbay
