#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "GatewayNode.h"
#include "serving/ServingConfig.h"
#include "transfer/PackedDocument.h"

namespace monsoonbay {

/** A configuration that can be put in force. */
struct DecodedConfig
{
    std::shared_ptr<const RouteTable> routes;
    PackedDocument whole;
    std::optional<PackedDocument> change; ///< since the one that this VM had, for other readers
};

/** Decodes what another VM gave; `base` is the configuration that this VM has. */
std::optional<DecodedConfig> decodeConfig(const PlatformPort &platform, const PackedDocument &base,
                                          const PackedDocument &packed);

/** Decodes a document of the store. */
std::optional<DecodedConfig> decodeDocument(const PlatformPort &platform,
                                            const PackedDocument &base, std::string_view document);

using ConfigDecode = std::function<std::optional<DecodedConfig>()>;

/** Runs `decode` beside the gateway's thread, where it has another one. */
asio::awaitable<std::optional<DecodedConfig>> decodeAside(GatewayNode &node, ConfigDecode decode);

} // namespace monsoonbay
