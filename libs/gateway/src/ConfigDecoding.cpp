#include "ConfigDecoding.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace monsoonbay {

namespace {

std::shared_ptr<const RouteTable> readRoutes(const PlatformPort &platform,
                                             std::string_view document)
{
    ServingConfig config;
    if (!platform.readConfig(document, config))
        return nullptr;
    return std::make_shared<RouteTable>(std::move(config));
}

asio::awaitable<std::optional<DecodedConfig>> run(ConfigDecode decode)
{
    co_return decode();
}

} // namespace

std::optional<DecodedConfig> decodeConfig(const PlatformPort &platform, const PackedDocument &base,
                                          const PackedDocument &packed)
{
    const std::optional<std::string> document = unpackWithBase(base, packed);
    if (!document)
        return std::nullopt;
    DecodedConfig decoded;
    decoded.routes = readRoutes(platform, *document);
    if (!decoded.routes || decoded.routes->config().version != packed.version)
        return std::nullopt;
    const bool isWhole = packed.baseDigest == 0;
    decoded.whole = isWhole ? packed : packDocument(packed.version, *document);
    if (!isWhole)
        decoded.change = packed;
    return decoded;
}

std::optional<DecodedConfig> decodeDocument(const PlatformPort &platform,
                                            const PackedDocument &base, std::string_view document)
{
    DecodedConfig decoded;
    decoded.routes = readRoutes(platform, document);
    if (!decoded.routes)
        return std::nullopt;
    const std::int64_t version = decoded.routes->config().version;
    // An old version is not applied; packing it would cost as much time as parsing.
    if (version <= base.version)
        return decoded;
    decoded.whole = packDocument(version, document);
    if (base.version > 0)
        decoded.change = packDelta(base, version, document);
    return decoded;
}

// Decoding a document of 1 MB takes 0.3 s on a VM with an eighth of a core. On the gateway's thread
// it would block callers and other VMs for all of that time.
asio::awaitable<std::optional<DecodedConfig>> decodeInBackground(GatewayNode &node,
                                                                 ConfigDecode decode)
{
    if (!node.decoding)
        co_return decode();
    co_return co_await asio::co_spawn(node.decoding->get_executor(), run(std::move(decode)),
                                      asio::use_awaitable);
}

} // namespace monsoonbay
