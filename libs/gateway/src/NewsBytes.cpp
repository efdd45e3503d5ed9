#include "NewsBytes.h"

#include <numeric>
#include <string_view>
#include <vector>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration logEvery = std::chrono::seconds(5);

constexpr std::array<std::string_view, newsKinds> matesFields{
    "matesUses",     "matesEngines", "matesTargets", "matesWorkspaces",
    "matesPrefixes", "matesConfig",  "matesRest"};
constexpr std::array<std::string_view, newsKinds> zonesFields{
    "zonesUses",     "zonesEngines", "zonesTargets", "zonesWorkspaces",
    "zonesPrefixes", "zonesConfig",  "zonesRest"};

/** Size of parts of a message whose own size was computed just before, and theirs with it. */
template <typename Message>
std::uint64_t sizeOf(const google::protobuf::RepeatedPtrField<Message> &messages)
{
    std::uint64_t bytes = 0;
    for (const Message &message : messages)
        bytes += static_cast<std::uint64_t>(message.GetCachedSize());
    return bytes;
}

template <typename Message> std::uint64_t sizeOf(bool isThere, const Message &message)
{
    return isThere ? static_cast<std::uint64_t>(message.GetCachedSize()) : 0;
}

/** Counts what a message of `total` bytes has beside those that are counted by kind. */
NewsBytes withRest(std::uint64_t total, NewsBytes bytes)
{
    const std::uint64_t known =
        std::accumulate(bytes.byKind.begin(), bytes.byKind.end(), std::uint64_t{0});
    bytes[NewsKind::Rest] = total - known;
    return bytes;
}

Counter counterOf(NewsKind kind, bool mate)
{
    const Counter first = mate ? Counter::NewsToMatesUses : Counter::NewsToZonesUses;
    return static_cast<Counter>(static_cast<std::size_t>(first) + static_cast<std::size_t>(kind));
}

} // namespace

NewsBytes bytesOf(const v1::Report &report)
{
    NewsBytes bytes;
    const std::uint64_t total = report.ByteSizeLong();
    bytes[NewsKind::Uses] = sizeOf(report.uses());
    bytes[NewsKind::Engines] = sizeOf(report.engines());
    for (const std::string &target : report.holds())
        bytes[NewsKind::Engines] += target.size();
    bytes[NewsKind::Targets] = sizeOf(report.leaving());
    bytes[NewsKind::Workspaces] = sizeOf(report.workspaces());
    bytes[NewsKind::Prefixes] = sizeOf(report.has_prefixes(), report.prefixes());
    return withRest(total, bytes);
}

NewsBytes bytesOf(const v1::Digest &digest)
{
    NewsBytes bytes;
    const std::uint64_t total = digest.ByteSizeLong();
    bytes[NewsKind::Uses] = sizeOf(digest.others());
    bytes[NewsKind::Engines] = sizeOf(digest.engines());
    bytes[NewsKind::Targets] = sizeOf(digest.targets());
    bytes[NewsKind::Workspaces] = sizeOf(digest.other_workspaces());
    bytes[NewsKind::Workspaces] += sizeOf(digest.has_spend(), digest.spend());
    bytes[NewsKind::Prefixes] = sizeOf(digest.has_prefixes(), digest.prefixes());
    return withRest(total, bytes);
}

NewsBytes bytesOf(const v1::ConfigPart &part)
{
    NewsBytes bytes;
    bytes[NewsKind::Config] = part.ByteSizeLong();
    return bytes;
}

void countSent(GatewayNode &node, const std::string &receiverZone, const NewsBytes &bytes)
{
    const bool mate = receiverZone == node.settings.zone;
    for (std::size_t kind = 0; kind < newsKinds; ++kind) {
        if (bytes.byKind[kind] > 0)
            node.metrics.add(counterOf(static_cast<NewsKind>(kind), mate), bytes.byKind[kind]);
    }
}

namespace {

/** All news sent so far to mates, or to VMs of other zones. */
NewsBytes sentSoFar(const GatewayNode &node, bool mates)
{
    NewsBytes sent;
    for (std::size_t kind = 0; kind < newsKinds; ++kind)
        sent.byKind[kind] = node.metrics.value(counterOf(static_cast<NewsKind>(kind), mates));
    return sent;
}

void addFields(const std::array<std::string_view, newsKinds> &names, const NewsBytes &now,
               const NewsBytes &before, std::vector<EventField> &fields)
{
    for (std::size_t kind = 0; kind < newsKinds; ++kind)
        fields.push_back({names[kind], std::to_string(now.byKind[kind] - before.byKind[kind])});
}

} // namespace

asio::awaitable<void> newsLogLoop(GatewayNode &node)
{
    NewsBytes matesBefore;
    NewsBytes zonesBefore;
    while (!node.stopped) {
        co_await pauseFor(node, logEvery);
        const NewsBytes mates = sentSoFar(node, true);
        const NewsBytes zones = sentSoFar(node, false);
        if (node.relaying) {
            std::vector<EventField> fields;
            addFields(matesFields, mates, matesBefore, fields);
            addFields(zonesFields, zones, zonesBefore, fields);
            logEvent(EventId::NewsSent, fields);
        }
        matesBefore = mates;
        zonesBefore = zones;
    }
}

} // namespace monsoonbay
