#include "UpdateBytes.h"

#include <numeric>
#include <string_view>
#include <vector>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration logInterval = std::chrono::seconds(5);

constexpr std::array<std::string_view, updateKinds> zonePeerFields{
    "matesUses",     "matesEngines", "matesTargets", "matesWorkspaces",
    "matesPrefixes", "matesConfig",  "matesRest"};
constexpr std::array<std::string_view, updateKinds> otherZoneFields{
    "zonesUses",     "zonesEngines", "zonesTargets", "zonesWorkspaces",
    "zonesPrefixes", "zonesConfig",  "zonesRest"};

/** Size of parts of a message. The size of that message was just computed, which cached theirs. */
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

/** Adds, as UpdateKind::Rest, the bytes of a message of `total` bytes that have no kind yet. */
UpdateBytes withRest(std::uint64_t total, UpdateBytes bytes)
{
    const std::uint64_t known =
        std::accumulate(bytes.byKind.begin(), bytes.byKind.end(), std::uint64_t{0});
    bytes[UpdateKind::Rest] = total - known;
    return bytes;
}

Counter counterOf(UpdateKind kind, bool zonePeer)
{
    const Counter first = zonePeer ? Counter::NewsToMatesUses : Counter::NewsToZonesUses;
    return static_cast<Counter>(static_cast<std::size_t>(first) + static_cast<std::size_t>(kind));
}

} // namespace

UpdateBytes bytesOf(const v1::Report &report)
{
    UpdateBytes bytes;
    const std::uint64_t total = report.ByteSizeLong();
    bytes[UpdateKind::Uses] = sizeOf(report.uses());
    bytes[UpdateKind::Engines] = sizeOf(report.engines());
    for (const std::string &target : report.holds())
        bytes[UpdateKind::Engines] += target.size();
    bytes[UpdateKind::Targets] = sizeOf(report.leaving());
    bytes[UpdateKind::Workspaces] = sizeOf(report.workspaces());
    bytes[UpdateKind::Prefixes] = sizeOf(report.has_prefixes(), report.prefixes());
    return withRest(total, bytes);
}

UpdateBytes bytesOf(const v1::Digest &digest)
{
    UpdateBytes bytes;
    const std::uint64_t total = digest.ByteSizeLong();
    bytes[UpdateKind::Uses] = sizeOf(digest.others());
    bytes[UpdateKind::Engines] = sizeOf(digest.engines());
    bytes[UpdateKind::Targets] = sizeOf(digest.targets());
    bytes[UpdateKind::Workspaces] = sizeOf(digest.other_workspaces());
    bytes[UpdateKind::Workspaces] += sizeOf(digest.has_spend(), digest.spend());
    bytes[UpdateKind::Prefixes] = sizeOf(digest.has_prefixes(), digest.prefixes());
    return withRest(total, bytes);
}

UpdateBytes bytesOf(const v1::ConfigPart &part)
{
    UpdateBytes bytes;
    bytes[UpdateKind::Config] = part.ByteSizeLong();
    return bytes;
}

void countSent(GatewayNode &node, const std::string &receiverZone, const UpdateBytes &bytes)
{
    const bool zonePeer = receiverZone == node.settings.zone;
    for (std::size_t kind = 0; kind < updateKinds; ++kind) {
        if (bytes.byKind[kind] > 0)
            node.metrics.add(counterOf(static_cast<UpdateKind>(kind), zonePeer),
                             bytes.byKind[kind]);
    }
}

namespace {

/** All bytes sent so far to zone peers, or to VMs of other zones. */
UpdateBytes sentSoFar(const GatewayNode &node, bool zonePeers)
{
    UpdateBytes sent;
    for (std::size_t kind = 0; kind < updateKinds; ++kind)
        sent.byKind[kind] = node.metrics.value(counterOf(static_cast<UpdateKind>(kind), zonePeers));
    return sent;
}

void addFields(const std::array<std::string_view, updateKinds> &names, const UpdateBytes &now,
               const UpdateBytes &before, std::vector<EventField> &fields)
{
    for (std::size_t kind = 0; kind < updateKinds; ++kind)
        fields.push_back({names[kind], std::to_string(now.byKind[kind] - before.byKind[kind])});
}

} // namespace

asio::awaitable<void> updateLogLoop(GatewayNode &node)
{
    UpdateBytes zonePeersBefore;
    UpdateBytes otherZonesBefore;
    while (!node.stopped) {
        co_await pauseFor(node, logInterval);
        const UpdateBytes zonePeers = sentSoFar(node, true);
        const UpdateBytes otherZones = sentSoFar(node, false);
        if (node.relaying) {
            std::vector<EventField> fields;
            addFields(zonePeerFields, zonePeers, zonePeersBefore, fields);
            addFields(otherZoneFields, otherZones, otherZonesBefore, fields);
            logEvent(EventId::NewsSent, fields);
        }
        zonePeersBefore = zonePeers;
        otherZonesBefore = otherZones;
    }
}

} // namespace monsoonbay
