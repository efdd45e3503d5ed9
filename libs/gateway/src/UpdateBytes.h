#pragma once

#include <array>
#include <cstdint>

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Kinds of state updates in messages between VMs. */
enum class UpdateKind : std::uint8_t {
    Uses, ///< usage of engines by calls
    Engines, ///< records of engines by their lease holders
    Targets, ///< the platform's target list
    Workspaces, ///< usage of workspaces, and its snapshots in the store
    Prefixes, ///< prompt prefixes that engines have read
    Config, ///< parts of the configuration
    Rest, ///< state of VMs, adapter versions, lease releases, evidence on calls
    Count, ///< number of kinds, not a kind itself
};

constexpr std::size_t updateKinds = static_cast<std::size_t>(UpdateKind::Count);

/** Encoded bytes by kind of update, without the headers of the transport. */
struct UpdateBytes
{
    std::array<std::uint64_t, updateKinds> byKind{};

    std::uint64_t &operator[](UpdateKind kind)
    {
        return this->byKind[static_cast<std::size_t>(kind)];
    }

    auto operator<=>(const UpdateBytes &) const = default;
};

UpdateBytes bytesOf(const gateway::v1::Report &report);
UpdateBytes bytesOf(const gateway::v1::Digest &digest);
UpdateBytes bytesOf(const gateway::v1::ConfigPart &part);

/** Counts sent bytes in the metrics, by kind, separately for zone peers and for other zones. */
void countSent(GatewayNode &node, const std::string &receiverZone, const UpdateBytes &bytes);

/** While this VM relays, periodically logs the bytes that it has sent since the last time. */
asio::awaitable<void> updateLogLoop(GatewayNode &node);

} // namespace monsoonbay
