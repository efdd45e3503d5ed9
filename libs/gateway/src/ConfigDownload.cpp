#include "ConfigDownload.h"

#include <algorithm>

#include "ConfigDecoding.h"
#include "Feeds.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** For one part: 16 KB take 13 ms over 10 Mbit/s, and arrive in this time over 0.3 Mbit/s. */
constexpr Duration partTimeout = std::chrono::milliseconds(500);
/** Delay after a failed read; it doubles with each further failure. */
constexpr Duration firstRetry = std::chrono::milliseconds(100);
constexpr int maxRetryDoublings = 4;
/** Delay before asking a VM again that is still downloading; it receives some parts meanwhile. */
constexpr Duration sourceRecheckDelay = std::chrono::milliseconds(20);
/** A source that has received nothing more in this time has lost its own source. */
constexpr Duration maxSourceStall = std::chrono::milliseconds(300);
/** A document up to this size costs less bandwidth than the requests of redirected VMs. */
constexpr std::uint64_t smallDocument = 4096;
/** The loop is woken by offers; this limits the delay when an offer is lost. */
constexpr Duration maxOfferWait = std::chrono::seconds(1);

bool offersNewer(const GatewayNode &node, const PeerState &peer)
{
    return mayReplace(node.routes->config().version, peer.configVersion);
}

/**
 * Zone peers come first, as traffic between zones is charged; then VMs with more cores, whose links
 * have more bandwidth.
 */
bool isPreferredSource(const GatewayNode &node, const PeerState &left, const PeerState &right)
{
    const bool leftIsZonePeer = left.zone == node.settings.zone;
    const bool rightIsZonePeer = right.zone == node.settings.zone;
    if (leftIsZonePeer != rightIsZonePeer)
        return leftIsZonePeer;
    if (left.capacity != right.capacity)
        return left.capacity > right.capacity;
    return left.configVersion > right.configVersion;
}

Duration untilNextRead(const GatewayNode &node, Instant now)
{
    Duration soonest = maxOfferWait;
    if (node.configDownload.decoding)
        return soonest;
    for (const auto &[endpoint, peer] : node.peers) {
        if (offersNewer(node, peer))
            soonest = std::min(soonest, std::max(peer.configRetryAt - now, Duration::zero()));
    }
    return soonest;
}

void recordReadFailure(GatewayNode &node, PeerState &peer, std::string_view why, Duration waited)
{
    if (peer.configFailures == 0)
        logEvent(EventId::ConfigUnread,
                 {{"peer", peer.name},
                  {"version", std::to_string(peer.configVersion)},
                  {"why", std::string(why)},
                  {"waitedMs", std::to_string(toMillis(waited))},
                  {"bytesSoFar", std::to_string(node.configDownload.partial.packed.bytes.size())},
                  {"ofBytes", std::to_string(node.configDownload.partial.totalBytes)}});
    peer.configRetryAt =
        BootClock::now() + firstRetry * (1 << std::min(peer.configFailures, maxRetryDoublings));
    ++peer.configFailures;
}

DocumentPart decodePart(const v1::ConfigPart &message)
{
    DocumentPart part;
    part.version = message.version();
    part.digest = message.digest();
    part.plainBytes = message.plain_bytes();
    part.totalBytes = message.total_bytes();
    part.offset = message.offset();
    part.bytes = message.bytes();
    part.baseDigest = message.base_digest();
    return part;
}

v1::ConfigPart encodePart(DocumentPart part)
{
    v1::ConfigPart message;
    message.set_version(part.version);
    message.set_digest(part.digest);
    message.set_plain_bytes(part.plainBytes);
    message.set_total_bytes(part.totalBytes);
    message.set_offset(part.offset);
    message.set_bytes(std::move(part.bytes));
    message.set_base_digest(part.baseDigest);
    return message;
}

/**
 * The source sends nothing: backs off from it. If it was reached by a redirect, other peers are
 * asked not to redirect again.
 */
void abandonSource(GatewayNode &node, PeerState &peer, std::string_view why, Duration waited)
{
    ConfigDownload &download = node.configDownload;
    download.redirectFailed = download.redirectFailed || download.expected != 0;
    download.expected = 0;
    recordReadFailure(node, peer, why, waited);
}

void applyDownloadedConfig(GatewayNode &node, const Endpoint &source,
                           std::optional<DecodedConfig> decoded, Instant readAt)
{
    ConfigDownload &download = node.configDownload;
    const PackedDocument read = std::move(download.partial.packed);
    const Duration took = readAt - download.begunAt;
    download.partial = PartialDocument();
    download.expected = 0;
    download.redirectFailed = false;
    download.decoding = false;
    node.configOffered.notifyAll();
    PeerState &peer = node.peers[source];
    const std::string from = "peer " + peer.name;
    if (!decoded) {
        logEvent(EventId::DocumentUnreadable, {{"what", "configuration"}, {"source", from}});
        recordReadFailure(node, peer, "it cannot be decoded", took);
        return;
    }
    applyConfig(node, std::move(*decoded), from);
    logEvent(EventId::ConfigRead,
             {{"version", std::to_string(read.version)},
              {"peer", peer.name},
              {"bytes", std::to_string(read.bytes.size())},
              {"plainBytes", std::to_string(read.plainBytes)},
              {"changesOnly", read.baseDigest == 0 ? "no" : "yes"},
              {"tookMs", std::to_string(toMillis(took))},
              {"decodingMs", std::to_string(toMillis(BootClock::now() - readAt))}});
}

asio::awaitable<void> decodeDownload(GatewayNode &node, Endpoint source, ConfigDecode decode)
{
    const Instant readAt = BootClock::now();
    std::optional<DecodedConfig> decoded = co_await decodeInBackground(node, std::move(decode));
    applyDownloadedConfig(node, source, std::move(decoded), readAt);
}

// The parts are kept until the configuration is in force, as VMs that download from this one still
// read them.
void startDecoding(GatewayNode &node, const Endpoint &source)
{
    ConfigDownload &download = node.configDownload;
    download.decoding = true;
    ConfigDecode decode = [platform = node.platform, base = node.config.newest,
                           packed = download.partial.packed] {
        return decodeConfig(*platform, base, packed);
    };
    if (node.decoding)
        spawn(node, "decode configuration", decodeDownload(node, source, std::move(decode)));
    else
        applyDownloadedConfig(node, source, decode(), BootClock::now());
}

/** Follows a redirect: the next part is requested from the VM that `answer` names. */
void followRedirect(GatewayNode &node, PeerState &peer, const v1::ConfigPart &answer)
{
    ConfigDownload &download = node.configDownload;
    const Endpoint other{answer.ask_address(), static_cast<std::uint16_t>(answer.ask_port())};
    addPeer(node, other, SharedVm());
    const auto found = node.peers.find(other);
    if (found == node.peers.end() || BootClock::now() < found->second.configRetryAt) {
        download.redirectFailed = true;
        return;
    }
    peer.configFailures = 0;
    recordConfigOffer(node, found->second, answer.version());
    download.source = other;
    download.expected = answer.version();
    download.lastProgressAt = BootClock::now();
}

/**
 * False if the configuration in force is as new by now, or is not the one that the delta is based
 * on: the store may have delivered another one meanwhile.
 */
bool isUsable(const GatewayNode &node, const PackedDocument &packed)
{
    const bool fits = packed.baseDigest == 0 || packed.baseDigest == node.config.newest.digest;
    return fits && mayReplace(node.routes->config().version, packed.version);
}

asio::awaitable<void> downloadPart(GatewayNode &node, Endpoint source)
{
    const Instant requestedAt = BootClock::now();
    ConfigDownload &download = node.configDownload;
    if (download.source != source) {
        download.source = source;
        download.expected = 0;
        download.lastProgressAt = requestedAt;
    }
    if (!isUsable(node, download.partial.packed))
        download.partial = PartialDocument();
    if (download.partial.packed.bytes.empty() && download.expected == 0) {
        download.begunAt = requestedAt;
        download.lastProgressAt = requestedAt;
    }
    const auto answer =
        co_await node.peerLinks.readConfig(source, nextConfigRequest(node), partTimeout);
    const auto found = node.peers.find(source);
    if (found == node.peers.end())
        co_return;
    if (!answer) {
        shrinkParts(download.partSize);
        abandonSource(node, found->second, "no answer", BootClock::now() - requestedAt);
        co_return;
    }
    growParts(download.partSize);
    applyConfigPart(node, found->second, *answer);
    const bool waits = answer->bytes().empty() && answer->ask_address().empty();
    if (waits)
        co_await pauseFor(node, sourceRecheckDelay);
}

} // namespace

bool isNewerConfigOffered(const GatewayNode &node)
{
    return std::any_of(node.peers.begin(), node.peers.end(),
                       [&node](const auto &entry) { return offersNewer(node, entry.second); });
}

namespace {

/** The next part of the configuration that the requesting VM has begun to download. */
std::optional<DocumentPart> nextPart(GatewayNode &node, const PartRequest &wanted, Instant now)
{
    if (wanted.version == 0)
        return std::nullopt;
    if (hasRequested(node.config, wanted))
        return readPart(node.config, wanted, now);
    const PartialDocument &soFar = node.configDownload.partial;
    const bool isRead =
        soFar.packed.version == wanted.version && soFar.packed.digest == wanted.digest;
    if (!isRead)
        return std::nullopt;
    return partOf(soFar, wanted.offset, wanted.maxBytes);
}

/**
 * The first part of the newest configuration that this VM has or is downloading; nothing: it is a
 * delta to a configuration that the requesting VM does not have.
 */
std::optional<DocumentPart> firstPart(GatewayNode &node, const PartRequest &wanted,
                                      std::int64_t expected, Instant now)
{
    const PartialDocument &soFar = node.configDownload.partial;
    const bool readsNewer = soFar.packed.version > node.config.newest.version;
    if (readsNewer) {
        const std::uint64_t base = soFar.packed.baseDigest;
        if (base != 0 && base != wanted.baseDigest)
            return std::nullopt;
        return partOf(soFar, 0, wanted.maxBytes);
    }
    if (expected > node.config.newest.version) {
        DocumentPart later;
        later.version = expected;
        later.totalBytes = 1; // not known yet, but not empty
        return later;
    }
    PartRequest newest = wanted;
    newest.version = 0;
    newest.digest = 0;
    return readPart(node.config, newest, now);
}

} // namespace

v1::ConfigPart answerConfigRequest(GatewayNode &node, const v1::ConfigRequest &request)
{
    const Instant now = BootClock::now();
    const PartRequest wanted{request.version(), request.digest(), request.offset(),
                             std::min<std::size_t>(request.most_bytes(), maxPartBytes),
                             request.base_digest()};
    std::optional<DocumentPart> part = nextPart(node, wanted, now);
    const bool continues = part.has_value();
    if (!continues)
        part = firstPart(node, wanted, request.expected(), now);
    if (!part)
        return {};
    const ConfigPartRequest partRequest{decodeEndpoint(request.from()), request.from().zone(),
                                        part->version, request.only_here()};
    const bool isLong = part->totalBytes > smallDocument;
    if (!continues && isLong) {
        const std::optional<Endpoint> other = redirectFor(node.configReaders, partRequest, now);
        if (other) {
            v1::ConfigPart answer;
            answer.set_version(part->version);
            answer.set_ask_address(other->address);
            answer.set_ask_port(other->port);
            return answer;
        }
    }
    const bool last = part->offset + part->bytes.size() >= part->totalBytes;
    recordPartSent(node.configReaders, partRequest, last, now);
    return encodePart(std::move(*part));
}

void recordConfigOffer(GatewayNode &node, PeerState &peer, std::int64_t version)
{
    peer.configVersion = version;
    if (offersNewer(node, peer))
        node.configOffered.notifyAll();
}

v1::ConfigRequest nextConfigRequest(const GatewayNode &node)
{
    const ConfigDownload &download = node.configDownload;
    v1::ConfigRequest request;
    request.set_version(download.partial.packed.version);
    request.set_digest(download.partial.packed.digest);
    request.set_offset(download.partial.packed.bytes.size());
    encodeSelf(node, *request.mutable_from());
    request.set_base_digest(node.config.newest.digest);
    request.set_expected(download.expected);
    request.set_only_here(download.redirectFailed);
    request.set_most_bytes(static_cast<std::uint32_t>(download.partSize.nextBytes));
    return request;
}

void applyConfigPart(GatewayNode &node, PeerState &peer, const v1::ConfigPart &answer)
{
    ConfigDownload &download = node.configDownload;
    // A VM that has restarted may have an older configuration than the one it reported before.
    if (!mayReplace(node.routes->config().version, answer.version())) {
        download.redirectFailed = download.redirectFailed || download.expected != 0;
        download.expected = 0;
        peer.configVersion = answer.version();
        return;
    }
    if (!answer.ask_address().empty()) {
        followRedirect(node, peer, answer);
        return;
    }
    const Instant now = BootClock::now();
    const PartOutcome outcome = appendPart(download.partial, decodePart(answer));
    if (outcome == PartOutcome::Whole && !isUsable(node, download.partial.packed)) {
        download.partial = PartialDocument();
        return;
    }
    switch (outcome) {
    case PartOutcome::More:
        peer.configFailures = 0;
        download.lastProgressAt = now;
        return;
    case PartOutcome::Whole:
        peer.configFailures = 0;
        startDecoding(node, peer.endpoint);
        return;
    case PartOutcome::Later:
        if (now - download.lastProgressAt > maxSourceStall)
            abandonSource(node, peer, "it has received no further parts itself",
                          now - download.lastProgressAt);
        return;
    case PartOutcome::Useless:
        abandonSource(node, peer, "its part does not continue where the last one ended", {});
        return;
    }
}

// Stays with the peer that sent the last part: another one may have only a newer version, and the
// parts received so far would be lost.
const PeerState *chooseConfigSource(const GatewayNode &node, Instant now)
{
    const PeerState *best = nullptr;
    for (const auto &[endpoint, peer] : node.peers) {
        if (!offersNewer(node, peer) || now < peer.configRetryAt)
            continue;
        if (endpoint == node.configDownload.source)
            return &peer;
        if (best == nullptr || isPreferredSource(node, peer, *best))
            best = &peer;
    }
    return best;
}

// The configuration has an RPC of its own. When the answer to an exchange carried it whole, a
// document with 4,250 routes (1 MB) took longer over 10 Mbit/s than an exchange may take: it was
// dropped and restarted with each exchange, together with all other state updates in it. 64 of 70
// VMs kept using a replaced configuration, and 42 in 100 of their calls were late, refused or
// failed (1 in 100 before). Here the parts received so far are kept, so a longer document only
// takes longer.
asio::awaitable<void> readConfigLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        const PeerState *source =
            node.configDownload.decoding ? nullptr : chooseConfigSource(node, now);
        if (source != nullptr)
            co_await downloadPart(node, source->endpoint);
        else
            co_await node.configOffered.wait(untilNextRead(node, now));
    }
}

} // namespace monsoonbay
