// Compares the state machine of a request with a direct version, and checks its guarantees.

#include <set>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "requests/Admission.h"
#include "requests/KeyRecords.h"
#include "requests/RequestLifecycle.h"

using namespace monsoonbay;

namespace {

/** What one attempt does in a random schedule. */
struct DrawnAttempt
{
    ErrorKind kind = ErrorKind::Ok;
    bool dispatched = false;
    std::vector<std::uint64_t> positions; ///< of the pieces in order of arrival, random
    bool late = false; ///< its events carry an older attempt's number
    std::uint64_t claimedPieces = 0;
};

const std::vector<ErrorKind> kinds{ErrorKind::Ok,          ErrorKind::NotResident,
                                   ErrorKind::NotOwner,    ErrorKind::BrokenStream,
                                   ErrorKind::WrongAnswer, ErrorKind::PeerUnreachable,
                                   ErrorKind::MayHaveRun,  ErrorKind::CallerGone};

DrawnAttempt drawAttempt()
{
    DrawnAttempt attempt;
    attempt.kind = *rc::gen::elementOf(kinds);
    attempt.positions =
        *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 5));
    const bool notRunKind =
        attempt.kind == ErrorKind::NotResident || attempt.kind == ErrorKind::NotOwner;
    attempt.dispatched = !notRunKind && (!attempt.positions.empty() || *rc::gen::arbitrary<bool>());
    if (notRunKind)
        attempt.positions.clear();
    attempt.late = *rc::gen::inRange(0, 6) == 0;
    attempt.claimedPieces = *rc::gen::inRange<std::uint64_t>(0, 5);
    return attempt;
}

/** Reference for delivery: a list to which only the next piece can be appended. */
struct NaiveCaller
{
    std::vector<std::uint64_t> got;

    bool take(std::uint64_t position, bool current)
    {
        if (!current || position != this->got.size())
            return false;
        this->got.push_back(position);
        return true;
    }
};

} // namespace

// Guards against a second run of a request that is not idempotent, a refusal after a possible run,
// and pieces delivered twice or out of order.
Test(life, guarantees_hold_on_any_schedule)
{
    cr_assert(rc::check("request life", [] {
        RequestLifecycle life;
        life.traits.idempotent = *rc::gen::arbitrary<bool>();
        life.traits.resumable = *rc::gen::arbitrary<bool>();
        life.traits.deadline = Instant{} + std::chrono::seconds(*rc::gen::inRange(1, 60));
        RetryBudget budget;
        NaiveCaller caller;
        Instant now{};
        int runs = 0; // attempts that may have started the request at a target again
        bool mayHaveRun = false;
        RequestStep step{NextStep::Route, ErrorKind::Ok, {}};
        for (int round = 0; round < 200; ++round) {
            const bool resume = step.step == NextStep::Resume;
            RC_ASSERT(step.wait >= Duration{});
            now += step.wait + std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            if (step.step == NextStep::Route && *rc::gen::inRange(0, 10) == 0) {
                step = endRouting(life, ErrorKind::StoreSaturated);
                break;
            }
            const DrawnAttempt attempt = drawAttempt();
            const std::uint32_t number = beginAttempt(life);
            const std::uint32_t reportedAttempt = attempt.late ? number - 1 : number;
            for (const std::uint64_t position : attempt.positions)
                RC_ASSERT(takePiece(life, reportedAttempt, position)
                          == caller.take(position, !attempt.late));
            if (attempt.dispatched && !resume)
                ++runs;
            mayHaveRun = mayHaveRun || attempt.dispatched;
            if (attempt.late) {
                const AttemptEnd stale{reportedAttempt, ErrorKind::Ok, true, caller.got.size()};
                RC_ASSERT(endAttempt(life, stale, budget, now).step == NextStep::Drop);
            }
            step =
                endAttempt(life, {number, attempt.kind, attempt.dispatched, attempt.claimedPieces},
                           budget, now);
            const bool continues = step.step == NextStep::Route || step.step == NextStep::Resume;
            if (!continues)
                break;
            RC_ASSERT(now < life.traits.deadline);
        }
        RC_ASSERT(life.delivered == caller.got.size());
        if (step.step == NextStep::Refuse)
            RC_ASSERT(!mayHaveRun);
        if (!life.traits.idempotent)
            RC_ASSERT(runs <= 1);
        RC_ASSERT(step.step != NextStep::Drop);
        if (step.step == NextStep::Fail)
            RC_ASSERT(step.kind != ErrorKind::Ok);
    }));
}

// Guards against a booking made twice: the target made it, its answer was lost, and the request was
// sent to another target because a lost answer was taken for "not run".
Test(life, a_lost_answer_of_a_non_idempotent_request_is_never_sent_again)
{
    RequestLifecycle life;
    life.traits.idempotent = false;
    life.traits.resumable = false;
    life.traits.deadline = Instant{} + std::chrono::seconds(60);
    RetryBudget budget;
    const std::uint32_t attempt = beginAttempt(life);
    const RequestStep step =
        endAttempt(life, {attempt, ErrorKind::MayHaveRun, true, 0}, budget, Instant{});
    cr_assert(step.step == NextStep::Fail);
    cr_assert(step.kind == ErrorKind::MayHaveRun);
}

// Guards against half an answer that looks complete: the engine closes the stream early and reports
// the end, and the delivered pieces are not compared with the number it reports.
Test(life, an_incomplete_answer_is_a_failure)
{
    RequestLifecycle life;
    life.traits.deadline = Instant{} + std::chrono::seconds(60);
    RetryBudget budget;
    const std::uint32_t attempt = beginAttempt(life);
    cr_assert(takePiece(life, attempt, 0));
    const RequestStep step = endAttempt(life, {attempt, ErrorKind::Ok, true, 5}, budget, Instant{});
    cr_assert(step.step == NextStep::Fail);
}

// Guards against retries that amplify an overload.
Test(life, retries_stop_when_the_budget_is_spent)
{
    RetryBudget budget;
    int allowed = 0;
    for (int request = 0; request < 1000; ++request) {
        addRetryTokens(budget);
        for (int retry = 0; retry < 3; ++retry)
            allowed += takeRetry(budget) ? 1 : 0;
    }
    cr_assert_leq(allowed, 111);
}

// Guards against a service that takes all capacity of an entry VM.
Test(admission, no_service_shuts_the_others_out)
{
    AdmissionState state;
    state.config.maxInFlight = 100;
    const ServiceId greedy = ServiceId::of("greedy");
    const ServiceId modest = ServiceId::of("modest");
    int admitted = 0;
    while (admit(state, greedy, 0.5).refusal == ErrorKind::Ok)
        ++admitted;
    cr_assert_eq(admitted, 50);
    cr_assert(admit(state, modest, 0.5).refusal == ErrorKind::Ok);
    release(state, greedy);
    cr_assert(admit(state, greedy, 0.5).refusal == ErrorKind::Ok);
}

namespace {

/** Entry VMs with their key records, which a restart loses. */
struct KeyCluster
{
    std::vector<KeyRecords> vms;
    std::vector<bool> up;
    Instant now = Instant{} + std::chrono::hours(1);

    explicit KeyCluster(std::size_t count)
        : up(count, true)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->vms.push_back(makeKeyRecords({}, VmId{index + 1}, this->now));
        this->updateAlive();
        this->now += std::chrono::hours(1);
    }

    std::vector<VmId> alive() const
    {
        std::vector<VmId> alive;
        for (std::size_t index = 0; index < this->up.size(); ++index) {
            if (this->up[index])
                alive.push_back(VmId{index + 1});
        }
        return alive;
    }

    void updateAlive()
    {
        for (std::size_t index = 0; index < this->vms.size(); ++index) {
            if (this->up[index])
                updateAliveVms(this->vms[index], this->alive(), this->now);
        }
    }

    void restart(std::size_t index)
    {
        this->vms[index] = makeKeyRecords({}, VmId{index + 1}, this->now);
    }

    KeyDecision ask(const KeyRequest &request)
    {
        std::vector<KeyReply> replies;
        for (const VmId holder : keyHolders(request.keyHash, this->alive())) {
            replies.push_back(reserveKey(this->vms[holder.value - 1], request, this->now));
            if (replies.back().state != KeyState::Reserved)
                break;
        }
        const KeyDecision decision = decideKey(replies);
        if (decision != KeyDecision::Run) {
            for (const VmId holder : keyHolders(request.keyHash, this->alive()))
                releaseKey(this->vms[holder.value - 1], request);
        }
        return decision;
    }
};

} // namespace

// Guards against running a retried booking again: holders of the key's record failed, restarted or
// changed between the caller's retries, and a VM without records took "unknown" for "new".
Test(keys, one_key_runs_once_whatever_fails)
{
    cr_assert(rc::check("keys", [] {
        KeyCluster cluster(5);
        const auto actions = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 5)));
        int runs = 0;
        std::uint64_t requestId = 1;
        for (const auto &[action, number] : actions) {
            const auto vm = static_cast<std::size_t>(number);
            cluster.now += std::chrono::seconds(7);
            if (action == 0) {
                cluster.up[vm] = false;
            } else if (action == 1) {
                if (!cluster.up[vm])
                    cluster.restart(vm);
                cluster.up[vm] = true;
            } else if (!cluster.alive().empty()) {
                const KeyRequest request{42, 4711, ++requestId};
                if (cluster.ask(request) == KeyDecision::Run) {
                    ++runs;
                    for (const VmId holder : keyHolders(42, cluster.alive()))
                        completeKey(cluster.vms[holder.value - 1], request, {}, cluster.now);
                }
            }
            cluster.updateAlive();
            RC_ASSERT(runs <= 1);
        }
        RC_CLASSIFY(runs == 1, "ran");
    }));
}

// Guards against a second run for a retry, and against one key for two different requests.
Test(keys, a_retry_while_the_first_runs_and_after_it_ended)
{
    KeyCluster cluster(3);
    const KeyRequest first{7, 1, 100};
    cr_assert(cluster.ask(first) == KeyDecision::Run);
    cr_assert(cluster.ask({7, 1, 101}) == KeyDecision::RefuseInUse);
    cr_assert(cluster.ask({7, 2, 102}) == KeyDecision::RefuseConflict);
    for (const VmId holder : keyHolders(7, cluster.alive()))
        completeKey(cluster.vms[holder.value - 1], first, {ErrorKind::Ok, 200, "", "answer", true},
                    cluster.now);
    cr_assert(cluster.ask({7, 1, 103}) == KeyDecision::Replay);
    cr_assert(cluster.ask({7, 2, 104}) == KeyDecision::RefuseConflict);
}
