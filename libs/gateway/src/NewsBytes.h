#pragma once

#include <array>
#include <cstdint>

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** What a message between VMs is about. */
enum class NewsKind : std::uint8_t {
    Uses, ///< what calls take of engines
    Engines, ///< what the VMs that order engines say of them
    Targets, ///< the platform's list
    Workspaces, ///< their use, and the notes on it
    Prefixes, ///< of prompts that engines have read
    Config, ///< parts of the configuration
    Rest, ///< standing of VMs, versions, releases, evidence on calls
    Count, ///< number of kinds, not one of them
};

constexpr std::size_t newsKinds = static_cast<std::size_t>(NewsKind::Count);

/** Bytes by kind of news, as encoded; without the heads of the transport. */
struct NewsBytes
{
    std::array<std::uint64_t, newsKinds> byKind{};

    std::uint64_t &operator[](NewsKind kind)
    {
        return this->byKind[static_cast<std::size_t>(kind)];
    }

    auto operator<=>(const NewsBytes &) const = default;
};

NewsBytes bytesOf(const gateway::v1::Report &report);
NewsBytes bytesOf(const gateway::v1::Digest &digest);
NewsBytes bytesOf(const gateway::v1::ConfigPart &part);

/** Counts news that this VM sends, by kind, to VMs of the own zone and to others apart. */
void countSent(GatewayNode &node, const std::string &receiverZone, const NewsBytes &bytes);

/** While this VM relays, logs now and then what it has sent since, by kind. */
asio::awaitable<void> newsLogLoop(GatewayNode &node);

} // namespace monsoonbay
