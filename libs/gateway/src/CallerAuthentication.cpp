#include "CallerAuthentication.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** News of a configuration take one read of the store that is under way, and one after it. */
constexpr Duration newKeyPatience = std::chrono::milliseconds(2000);
constexpr double newKeyTimeShare = 0.35; ///< of what the caller will wait
/** Callers without a valid key must not take the memory of others. */
constexpr int mostKeysAwaited = 64;
constexpr std::size_t mostUnknownKeys = 1024;

/** Another VM may be in touch. */
constexpr Duration otherVmRetryAfter = std::chrono::milliseconds(300);
constexpr Duration longRetryAfter = std::chrono::milliseconds(1000);

LocalReply untrusted()
{
    return makeLocalReply(503, "this VM cannot tell whether the key was taken away",
                          otherVmRetryAfter);
}

bool mayTrustKeysNow(const GatewayNode &node)
{
    return mayTrustKeys(node.settings.access, configConfirmedAt(node), BootClock::now());
}

/** True once the configuration in force is known to have been the newest at `since` or later. */
bool isConfirmedSince(const GatewayNode &node, Instant since)
{
    const std::optional<Instant> confirmed = configConfirmedAt(node);
    return confirmed && *confirmed >= since;
}

// A caller goes on calling with a key that was taken; only its first call has to wait for news.
Instant firstSeen(ActiveCall &run)
{
    GatewayNode &node = run.node;
    if (node.unknownKeys.size() >= mostUnknownKeys)
        node.unknownKeys.clear();
    return node.unknownKeys.try_emplace(*run.key, run.arrivedAt).first->second;
}

asio::awaitable<void> awaitKey(const ActiveCall &run, Instant seen)
{
    GatewayNode &node = run.node;
    const Duration left = fromSeconds(newKeyTimeShare * toSeconds(timeLeft(run)));
    const Instant limit = run.arrivedAt + std::min(newKeyPatience, left);
    ++node.keysAwaited;
    while (workspaceOf(node.keys, *run.key) == nullptr && !isConfirmedSince(node, seen)
           && BootClock::now() < limit)
        co_await node.confirmed.wait(limit - BootClock::now());
    --node.keysAwaited;
}

} // namespace

asio::awaitable<std::optional<LocalReply>> authenticateCaller(ActiveCall &run)
{
    GatewayNode &node = run.node;
    if (run.route->unauthenticated || node.routes->config().workspaces.empty())
        co_return std::nullopt;
    if (run.facts.callerKey.empty())
        co_return makeLocalReply(401, "the call has no key, or more than one", Duration::zero());
    run.key = digestOfKey(run.facts.callerKey);
    run.facts.callerKey.clear();
    Instant seen{};
    if (workspaceOf(node.keys, *run.key) == nullptr) {
        seen = firstSeen(run);
        if (node.keysAwaited < mostKeysAwaited)
            co_await awaitKey(run, seen);
    }
    const std::string *workspace = workspaceOf(node.keys, *run.key);
    if (workspace == nullptr && isConfirmedSince(node, seen))
        co_return makeLocalReply(401, "no workspace has this key", Duration::zero());
    if (workspace == nullptr)
        co_return makeLocalReply(503, "this VM cannot tell whether the key is a new one",
                                 longRetryAfter);
    if (!mayTrustKeysNow(node))
        co_return untrusted();
    run.workspace = *workspace;
    co_return std::nullopt;
}

std::optional<LocalReply> recheckKey(const ActiveCall &run)
{
    if (!run.key)
        return std::nullopt;
    const std::string *workspace = workspaceOf(run.node.keys, *run.key);
    if (workspace == nullptr)
        return makeLocalReply(401, "the key was taken away", Duration::zero());
    if (*workspace != run.workspace)
        return makeLocalReply(503, "the key has gone to another workspace", otherVmRetryAfter);
    if (!mayTrustKeysNow(run.node))
        return untrusted();
    return std::nullopt;
}

int priorityOf(const ActiveCall &run)
{
    const Workspace *workspace = run.node.routes->findWorkspace(run.workspace);
    if (workspace == nullptr)
        return run.route->priority;
    return workspace->priority.value_or(run.route->priority);
}

} // namespace monsoonbay
