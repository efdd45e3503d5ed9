#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "GatewayNode.h"
#include "serving/ServingConfig.h"
#include "transfer/PackedDocument.h"

namespace monsoonbay {

/** A decoded configuration, ready to be applied. */
struct DecodedConfig
{
    std::shared_ptr<const RouteTable> routes;
    PackedDocument whole;
    std::optional<PackedDocument> change; ///< delta to the previous one, for peers that have that
};

/** Decodes what another VM sent; `base` is the configuration that this VM has. */
std::optional<DecodedConfig> decodeConfig(const PlatformPort &platform, const PackedDocument &base,
                                          const PackedDocument &packed);

/** Decodes a document that was read from the store. */
std::optional<DecodedConfig> decodeDocument(const PlatformPort &platform,
                                            const PackedDocument &base, std::string_view document);

using ConfigDecode = std::function<std::optional<DecodedConfig>()>;

/** Runs `decode` on the decoding thread, if the node has one, and on the calling thread if not. */
asio::awaitable<std::optional<DecodedConfig>> decodeInBackground(GatewayNode &node,
                                                                 ConfigDecode decode);

} // namespace monsoonbay
