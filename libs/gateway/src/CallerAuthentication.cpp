#include "CallerAuthentication.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** A new configuration arrives with the store read under way or with the one after it. */
constexpr Duration maxNewKeyWait = std::chrono::milliseconds(2000);
constexpr double newKeyTimeShare = 0.35; ///< of the time that the caller will wait
/** Bounds the memory that callers without a valid key can occupy. */
constexpr int maxKeysAwaited = 64;
constexpr std::size_t maxUnknownKeys = 1024;

/** Another VM may know the newest configuration. */
constexpr Duration otherVmRetryAfter = std::chrono::milliseconds(300);
constexpr Duration longRetryAfter = std::chrono::milliseconds(1000);

LocalReply refuseUnconfirmedKeys()
{
    return makeLocalReply(503, "this VM cannot tell whether the key was taken away",
                          otherVmRetryAfter);
}

bool mayTrustKeysNow(const GatewayNode &node)
{
    return mayAcceptKeys(node.settings.access, configConfirmedAt(node), BootClock::now());
}

/** True once the configuration in force is known to have been the newest at `since` or later. */
bool isConfirmedSince(const GatewayNode &node, Instant since)
{
    const std::optional<Instant> confirmed = configConfirmedAt(node);
    return confirmed && *confirmed >= since;
}

// When the unknown key was first used here. A caller may go on calling with a revoked key; only its
// first call has to wait for a newer configuration.
Instant firstSeenAt(ActiveCall &call)
{
    GatewayNode &node = call.node;
    if (node.unknownKeys.size() >= maxUnknownKeys)
        node.unknownKeys.clear();
    return node.unknownKeys.try_emplace(*call.key, call.arrivedAt).first->second;
}

asio::awaitable<void> awaitKey(const ActiveCall &call, Instant seenAt)
{
    GatewayNode &node = call.node;
    const Duration left = fromSeconds(newKeyTimeShare * toSeconds(timeLeft(call)));
    const Instant limit = call.arrivedAt + std::min(maxNewKeyWait, left);
    ++node.keysAwaited;
    while (workspaceOf(node.keys, *call.key) == nullptr && !isConfirmedSince(node, seenAt)
           && !call.cancelled() && BootClock::now() < limit)
        co_await node.confirmed.wait(limit - BootClock::now());
    --node.keysAwaited;
}

} // namespace

asio::awaitable<std::optional<LocalReply>> authenticateCaller(ActiveCall &call)
{
    GatewayNode &node = call.node;
    if (call.route->unauthenticated || node.routes->config().workspaces.empty())
        co_return std::nullopt;
    if (call.metadata.callerKey.empty())
        co_return makeLocalReply(401, "the call has no key, or more than one", Duration::zero());
    call.key = digestOfKey(call.metadata.callerKey);
    call.metadata.callerKey.clear();
    Instant seenAt{};
    if (workspaceOf(node.keys, *call.key) == nullptr) {
        seenAt = firstSeenAt(call);
        if (node.keysAwaited < maxKeysAwaited)
            co_await awaitKey(call, seenAt);
    }
    const std::string *workspace = workspaceOf(node.keys, *call.key);
    if (workspace == nullptr && isConfirmedSince(node, seenAt))
        co_return makeLocalReply(401, "no workspace has this key", Duration::zero());
    if (workspace == nullptr)
        co_return makeLocalReply(503, "this VM cannot tell whether the key is new", longRetryAfter);
    if (!mayTrustKeysNow(node))
        co_return refuseUnconfirmedKeys();
    call.workspace = *workspace;
    co_return std::nullopt;
}

std::optional<LocalReply> recheckKey(const ActiveCall &call)
{
    if (!call.key)
        return std::nullopt;
    const std::string *workspace = workspaceOf(call.node.keys, *call.key);
    if (workspace == nullptr)
        return makeLocalReply(401, "the key was taken away", Duration::zero());
    if (*workspace != call.workspace)
        return makeLocalReply(503, "the key now belongs to another workspace", otherVmRetryAfter);
    if (!mayTrustKeysNow(call.node))
        return refuseUnconfirmedKeys();
    return std::nullopt;
}

int priorityOf(const ActiveCall &call)
{
    const Workspace *workspace = call.node.routes->findWorkspace(call.workspace);
    if (workspace == nullptr)
        return call.route->priority;
    return workspace->priority.value_or(call.route->priority);
}

} // namespace monsoonbay
