#include "requests/RequestLifecycle.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr std::uint32_t maxRedirects = 50;
/** Half a minute, with the backoff: longer than a new owner takes to claim a target and wait. */
constexpr std::uint32_t maxResumes = 36;
constexpr Duration minRedirectWait = std::chrono::milliseconds(5);
constexpr Duration maxRedirectWait = std::chrono::milliseconds(250);
constexpr Duration minResumeWait = std::chrono::milliseconds(50);
constexpr Duration maxResumeWait = std::chrono::milliseconds(1000);

Duration redirectWait(std::uint32_t count)
{
    const std::uint32_t doublings = std::min(count, 6U);
    return std::min(maxRedirectWait, minRedirectWait * (1 << doublings));
}

Duration resumeWaitAfter(std::uint32_t resumes)
{
    const std::uint32_t doublings = std::min(resumes, 6U);
    return std::min(maxResumeWait, minResumeWait * (1 << doublings));
}

RequestStep finish(RequestLifecycle &life, NextStep step, ErrorKind kind)
{
    life.phase = RequestPhase::Ended;
    return RequestStep{step, kind, {}};
}

// The directory was stale or an owner changed. Nothing ran, so any request may go to another
// target. This costs the targets nothing, so the retry budget does not apply.
RequestStep redirect(RequestLifecycle &life, ErrorKind kind, Instant now)
{
    ++life.redirects;
    const Duration wait = redirectWait(life.redirects);
    if (now + wait >= life.traits.deadline)
        return finish(life, NextStep::Refuse, ErrorKind::DeadlinePassed);
    if (life.redirects > maxRedirects)
        return finish(life, NextStep::Refuse, kind);
    life.phase = RequestPhase::Routing;
    return RequestStep{NextStep::Route, kind, wait};
}

bool endsAtCaller(ErrorKind kind)
{
    return kind == ErrorKind::CallerGone || kind == ErrorKind::BadRequest;
}

// A wrong answer stays wrong when it is fetched again, and with "may have run" the engine reports
// that it holds no answer. Other errors may come from a broken hop, with the answer intact at the
// target.
bool mayResume(const RequestLifecycle &life, ErrorKind kind)
{
    const bool hopeless = kind == ErrorKind::WrongAnswer || kind == ErrorKind::MayHaveRun;
    return life.traits.resumable && !hopeless && life.resumes < maxResumes;
}

bool mayRunAgain(const RequestLifecycle &life)
{
    return life.traits.idempotent && life.delivered == 0 && !life.headDelivered;
}

} // namespace

void addRetryTokens(RetryBudget &budget) noexcept
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + budget.tokensPerRequest);
}

bool takeRetry(RetryBudget &budget) noexcept
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

std::uint32_t beginAttempt(RequestLifecycle &life)
{
    return ++life.attempt;
}

bool takePiece(RequestLifecycle &life, std::uint32_t attempt, std::uint64_t position)
{
    const bool isNext =
        life.phase != RequestPhase::Ended && attempt == life.attempt && position == life.delivered;
    if (!isNext) {
        ++life.dropped;
        return false;
    }
    life.phase = RequestPhase::Dispatched;
    life.everDispatched = true;
    ++life.delivered;
    return true;
}

RequestStep endAttempt(RequestLifecycle &life, const AttemptEnd &end, RetryBudget &budget,
                       Instant now)
{
    const bool late = life.phase == RequestPhase::Ended || end.attempt != life.attempt;
    if (late)
        return RequestStep{NextStep::Drop, end.kind, {}};
    life.everDispatched = life.everDispatched || end.dispatched;
    if (end.kind == ErrorKind::Ok) {
        const bool whole = end.pieces == life.delivered;
        if (whole)
            return finish(life, NextStep::Answered, ErrorKind::Ok);
        // The target reports the end, but pieces are missing here: the answer is incomplete.
        return finish(life, NextStep::Fail, ErrorKind::BrokenStream);
    }
    if (end.kind == ErrorKind::CallerGone)
        return finish(life, life.everDispatched ? NextStep::Fail : NextStep::Refuse, end.kind);
    if (!life.everDispatched) {
        if (endsAtCaller(end.kind))
            return finish(life, NextStep::Refuse, end.kind);
        return redirect(life, end.kind, now);
    }
    const Duration wait = resumeWaitAfter(life.resumes);
    const bool timeLeft = now + wait < life.traits.deadline;
    if (timeLeft && mayResume(life, end.kind)) {
        ++life.resumes;
        return RequestStep{NextStep::Resume, end.kind, wait};
    }
    if (timeLeft && mayRunAgain(life) && takeRetry(budget)) {
        life.phase = RequestPhase::Routing;
        life.resumes = 0;
        return RequestStep{NextStep::Route, end.kind, wait};
    }
    const ErrorKind reported = meansNotRun(end.kind) ? ErrorKind::MayHaveRun : end.kind;
    return finish(life, NextStep::Fail, reported);
}

RequestStep endRouting(RequestLifecycle &life, ErrorKind kind)
{
    if (life.everDispatched)
        return finish(life, NextStep::Fail, ErrorKind::MayHaveRun);
    return finish(life, NextStep::Refuse, kind);
}

} // namespace monsoonbay
