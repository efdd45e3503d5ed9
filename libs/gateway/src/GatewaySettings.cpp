#include "gateway/GatewaySettings.h"

#include <charconv>

#include "config/JsonReader.h"
#include "config/Resources.h"
#include "gateway/PlatformPort.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

/** Parses "IP:PORT"; reports a problem if the text is something else. */
Endpoint readEndpoint(JsonReader &reader, const std::string &text, const std::string &path)
{
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    const char *begin = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(begin, end, port);
    const bool valid = colon != std::string::npos && colon > 0 && error == std::errc()
        && parsed == end && port <= 65535;
    if (!valid) {
        reader.complain(path, "'" + text + "' is not an address", "write IP:PORT");
        return {};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Endpoint requiredEndpoint(JsonReader &reader, const Json &root, const char *key)
{
    const std::string path = "/" + std::string(key);
    return readEndpoint(reader, reader.text(root, "", key), path);
}

Duration readMs(JsonReader &reader, const Json &object, const std::string &path, const char *key,
                Duration fallback, double minimum, double maximum)
{
    const double fallbackMs = toSeconds(fallback) * 1000;
    return fromSeconds(reader.number(object, path, key, fallbackMs, minimum, maximum) / 1000);
}

std::vector<Endpoint> readSeeds(JsonReader &reader, const Json &root, std::uint16_t port)
{
    std::vector<Endpoint> seeds;
    if (!root.contains("seeds"))
        return seeds;
    std::size_t index = 0;
    for (const std::string &text : reader.texts(root, "", "seeds")) {
        const Endpoint seed = readEndpoint(reader, text, "/seeds/" + std::to_string(index++));
        // Seeds name another port; all VMs listen for peers at the same port as this one.
        seeds.push_back({seed.address, port});
    }
    return seeds;
}

void readRetries(JsonReader &reader, const Json &root, RetryPolicy &retries)
{
    if (!root.contains("retries"))
        return;
    const Json &object = root["retries"];
    const std::string path = "/retries";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path, {"ratio", "slack", "windowSeconds"});
    retries.ratio = reader.number(object, path, "ratio", retries.ratio, 0, 10);
    retries.slack = reader.number(object, path, "slack", retries.slack, 0, 1e6);
    const double window = toSeconds(retries.window);
    retries.window = fromSeconds(reader.number(object, path, "windowSeconds", window, 1, 3600));
}

void readAccess(JsonReader &reader, const Json &root, AccessPolicy &access)
{
    if (!root.contains("access"))
        return;
    const Json &object = root["access"];
    const std::string path = "/access";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path, {"strict", "takenWithinMs"});
    access.strict = reader.boolean(object, path, "strict", access.strict);
    access.revokedWithin =
        readMs(reader, object, path, "takenWithinMs", access.revokedWithin, 1000, 3600000);
}

void readQuota(JsonReader &reader, const Json &root, QuotaPolicy &quota)
{
    if (!root.contains("quota"))
        return;
    const Json &object = root["quota"];
    const std::string path = "/quota";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path, {"windowSeconds", "excess", "slack"});
    const double window = toSeconds(quota.window);
    quota.window = fromSeconds(reader.number(object, path, "windowSeconds", window, 1, 3600));
    quota.excess = reader.number(object, path, "excess", quota.excess, 0, 10);
    quota.slack = reader.number(object, path, "slack", quota.slack, 0, 1e12);
}

void readPlacement(JsonReader &reader, const Json &root, PlacementSettings &placement)
{
    if (!root.contains("placement"))
        return;
    const Json &object = root["placement"];
    const std::string path = "/placement";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path,
                    {"forecast", "reservePrefill", "keepDeclines", "awaitLoads", "queue"});
    placement.forecast = reader.boolean(object, path, "forecast", placement.forecast);
    placement.reservePrefill =
        reader.boolean(object, path, "reservePrefill", placement.reservePrefill);
    placement.keepDeclines = reader.boolean(object, path, "keepDeclines", placement.keepDeclines);
    placement.awaitLoads = reader.boolean(object, path, "awaitLoads", placement.awaitLoads);
    placement.queue = reader.boolean(object, path, "queue", placement.queue);
}

void readLease(JsonReader &reader, const Json &root, LeaseTiming &lease)
{
    if (!root.contains("lease"))
        return;
    const Json &object = root["lease"];
    const std::string path = "/lease";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path, {"ttlMs", "apartMs"});
    lease.ttl = readMs(reader, object, path, "ttlMs", lease.ttl, 1000, 60000);
    lease.handoverGap = readMs(reader, object, path, "apartMs", lease.handoverGap, 0, 60000);
}

} // namespace

std::vector<Endpoint> listenEndpoints(const GatewaySettings &settings)
{
    std::vector<Endpoint> endpoints{settings.callers, settings.readiness, settings.operators,
                                    settings.peersListen.value_or(settings.peers)};
    if (settings.forwards)
        endpoints.push_back(*settings.forwards);
    return endpoints;
}

bool isGatewaySettings(std::string_view json)
{
    const Json root = parseJson(json);
    return root.is_object() && root.contains("platform");
}

Parsed<GatewaySettings> parseGatewaySettings(std::string_view json)
{
    JsonReader reader;
    Parsed<GatewaySettings> parsed;
    const Json root = reader.parseObject(json);
    if (reader.problems.empty()) {
        GatewaySettings &settings = parsed.value;
        reader.onlyKeys(root, "", {"vm",          "zone",       "platform",     "callers",
                                   "readiness",   "operators",  "peers",        "peersListen",
                                   "forwards",    "seeds",      "store",        "partitions",
                                   "heartbeatMs", "shutdownMs", "retries",      "access",
                                   "quota",       "lease",      "placement",    "logLinesPerSecond",
                                   "capacity",    "firstStart", "heldAnswerKb", "resources"});
        settings.vm = reader.text(root, "", "vm");
        settings.zone = reader.text(root, "", "zone");
        settings.firstStart = reader.boolean(root, "", "firstStart", settings.firstStart);
        settings.capacity = reader.number(root, "", "capacity", settings.capacity, 0.001, 1024);
        settings.platform = reader.text(root, "", "platform");
        settings.callers = requiredEndpoint(reader, root, "callers");
        settings.readiness = requiredEndpoint(reader, root, "readiness");
        settings.operators = requiredEndpoint(reader, root, "operators");
        settings.peers = requiredEndpoint(reader, root, "peers");
        if (root.contains("peersListen"))
            settings.peersListen = requiredEndpoint(reader, root, "peersListen");
        if (root.contains("forwards"))
            settings.forwards = requiredEndpoint(reader, root, "forwards");
        settings.seeds = readSeeds(reader, root, settings.peers.port);
        settings.store = requiredEndpoint(reader, root, "store");
        settings.partitions =
            static_cast<int>(reader.number(root, "", "partitions", settings.partitions, 1, 4096));
        settings.heartbeat =
            readMs(reader, root, "", "heartbeatMs", settings.heartbeat, 100, 60000);
        settings.shutdownLimit =
            readMs(reader, root, "", "shutdownMs", settings.shutdownLimit, 100, 3600000);
        readRetries(reader, root, settings.retries);
        readAccess(reader, root, settings.access);
        readQuota(reader, root, settings.quota);
        readResources(reader, root, settings.resources);
        settings.hasQuotaPolicy = root.contains("quota");
        readLease(reader, root, settings.lease);
        readPlacement(reader, root, settings.placement);
        const double heldKb = static_cast<double>(settings.maxHeldAnswerBytes) / 1024;
        settings.maxHeldAnswerBytes = static_cast<std::size_t>(
            1024 * reader.number(root, "", "heldAnswerKb", heldKb, 16, 65536));
        settings.logLinesPerSecond = static_cast<int>(
            reader.number(root, "", "logLinesPerSecond", settings.logLinesPerSecond, 1, 100000));
        if (findPlatform(settings.platform) == nullptr) {
            std::string names;
            for (const std::string &name : platformNames())
                names += (names.empty() ? "" : ", ") + name;
            reader.complain("/platform", "'" + settings.platform + "' is not a known platform",
                            "choose one of: " + names);
        }
    }
    parsed.problems = std::move(reader.problems);
    return parsed;
}

} // namespace monsoonbay
