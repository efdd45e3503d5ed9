#pragma once

#include <array>
#include <cstdint>

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** What a message between VMs is about. */
enum class UpdateKind : std::uint8_t {
    Uses, ///< what calls take of engines
    Engines, ///< what the VMs that order engines say of them
    Targets, ///< the platform's list
    Workspaces, ///< their use, and the notes on it
    Prefixes, ///< of prompts that engines have read
    Config, ///< parts of the configuration
    Rest, ///< standing of VMs, versions, releases, evidence on calls
    Count, ///< number of kinds, not one of them
};

constexpr std::size_t updateKinds = static_cast<std::size_t>(UpdateKind::Count);

/** Bytes by kind of news, as encoded; without the heads of the transport. */
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

/** Counts news that this VM sends, by kind, to VMs of the own zone and to others apart. */
void countSent(GatewayNode &node, const std::string &receiverZone, const UpdateBytes &bytes);

/** While this VM relays, logs now and then what it has sent since, by kind. */
asio::awaitable<void> updateLogLoop(GatewayNode &node);

} // namespace monsoonbay
