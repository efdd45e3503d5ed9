#include "serving/PrefillQueue.h"

#include <algorithm>

namespace monsoonbay {

double waitingTokens(const PrefillQueue &queue, double tokensPerMs, Instant now) noexcept
{
    const double elapsedMs = std::max(1000 * toSeconds(now - queue.at), 0.0);
    return std::max(queue.tokens - tokensPerMs * elapsedMs, 0.0);
}

// A VM's information about an engine's load is older than the prefill of a long prompt takes.
// Without one current count, several VMs send their prompts to the same seemingly idle engine,
// where the last one waits for seconds while other engines with the same adapter have nothing to
// do.
PrefillReply reservePrefill(PrefillQueue &queue, const PrefillRequest &request, double tokensPerMs,
                            Instant now) noexcept
{
    PrefillReply reply;
    reply.ahead = waitingTokens(queue, tokensPerMs, now);
    reply.reserved = reply.ahead <= request.maxAhead;
    if (!reply.reserved)
        return reply;
    queue.tokens = reply.ahead + std::max(request.tokens, 0.0);
    queue.at = now;
    return reply;
}

double maxTokensAhead(const PrefillBudget &budget) noexcept
{
    const double leftMs = budget.objectiveLeftMs - budget.otherMs;
    return std::max(leftMs * budget.tokensPerMs - budget.ownTokens, 0.0);
}

} // namespace monsoonbay
