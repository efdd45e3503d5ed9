#include "RetryModel.h"

#include <algorithm>
#include <queue>
#include <random>

namespace monsoonbay {

namespace {

using namespace std::chrono_literals;

constexpr Duration attemptTime = 3ms;
constexpr int maxRetriesOfCall = 5;
constexpr Duration fleetSizeDelay = 300ms; ///< until a VM that has started knows the others

struct Attempt
{
    Instant at{};
    std::size_t vm = 0;
    int boot = 0;
    int retries = 0;
    GrantedRetry granted; ///< of a retry

    bool operator>(const Attempt &other) const
    {
        return this->at > other.at;
    }
};

struct ModelVm
{
    ServiceRetryBudget budget;
    SlackSharing sharing;
    Instant knowsOthersAt{};
    int boot = 0;
};

class Simulation
{
public:
    explicit Simulation(const RetryScenario &scenario)
        : scenario(scenario)
        , vms(static_cast<std::size_t>(scenario.vms))
        , random(scenario.seed)
    {
        for (std::size_t index = 0; index < this->vms.size(); ++index)
            this->vms[index].sharing.rank = static_cast<int>(index);
    }

    RetryArrivals run()
    {
        for (const CallPhase &phase : this->scenario.phases)
            this->addCalls(phase);
        while (!this->attempts.empty()) {
            const Attempt attempt = this->attempts.top();
            this->attempts.pop();
            this->restartUntil(attempt.at);
            this->receive(attempt);
        }
        return std::move(this->arrivals);
    }

private:
    Instant endOf(const CallPhase &phase) const
    {
        Instant end = this->scenario.end;
        for (const CallPhase &other : this->scenario.phases)
            if (other.from > phase.from)
                end = std::min(end, other.from);
        return end;
    }

    void addCalls(const CallPhase &phase)
    {
        std::exponential_distribution<double> gap(phase.callsPerSecond);
        std::discrete_distribution<std::size_t> vm(phase.weights.begin(), phase.weights.end());
        const Instant end = this->endOf(phase);
        Instant at = phase.from + fromSeconds(gap(this->random));
        while (at < end) {
            Attempt attempt;
            attempt.at = at;
            attempt.vm = vm(this->random);
            this->attempts.push(attempt);
            at += fromSeconds(gap(this->random));
        }
    }

    void restartUntil(Instant now)
    {
        const std::vector<VmRestart> &restarts = this->scenario.restarts;
        for (; this->restarted < restarts.size(); ++this->restarted) {
            const VmRestart &restart = restarts[this->restarted];
            if (restart.at > now)
                return;
            for (std::size_t index = 0; index < this->vms.size(); ++index) {
                if (restart.restarted[index])
                    this->restartVm(this->vms[index], restart.at);
            }
        }
    }

    void restartVm(ModelVm &vm, Instant at) const
    {
        const int boot = vm.boot + 1;
        const int rank = vm.sharing.rank;
        vm = ModelVm();
        vm.boot = boot;
        vm.sharing.rank = rank;
        vm.sharing.from = slackAvailableFrom(this->scenario.policy, at);
        vm.knowsOthersAt = at + fleetSizeDelay;
    }

    void receive(const Attempt &attempt)
    {
        ModelVm &vm = this->vms[attempt.vm];
        if (attempt.at >= vm.knowsOthersAt)
            vm.sharing.vms = this->scenario.vms;
        const RetryPolicy &policy = this->scenario.policy;
        const bool first = attempt.retries == 0;
        if (!first && attempt.boot != vm.boot)
            return;
        if (first) {
            this->arrivals.calls.push_back(attempt.at);
            recordCall(vm.budget, policy, attempt.at);
        } else {
            this->arrivals.retries.push_back(attempt.at);
            GrantedRetry granted = attempt.granted;
            recountRetry(vm.budget, policy, granted, attempt.at);
        }
        const bool rejected = attempt.at >= this->scenario.rejectingFrom
            && this->draw() < this->scenario.rejectedShare;
        if (rejected && attempt.retries < maxRetriesOfCall)
            this->retry(attempt, vm);
    }

    void retry(const Attempt &attempt, ModelVm &vm)
    {
        const Instant now = attempt.at + attemptTime;
        const std::optional<GrantedRetry> granted =
            tryTakeRetry(vm.budget, this->scenario.policy, vm.sharing, now);
        if (!granted)
            return;
        const double longestWait = toSeconds(this->scenario.longestWait);
        Attempt next = attempt;
        next.at = now + fromSeconds(longestWait * this->draw());
        next.boot = vm.boot;
        next.retries = attempt.retries + 1;
        next.granted = *granted;
        this->attempts.push(next);
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    const RetryScenario &scenario;
    std::vector<ModelVm> vms;
    std::mt19937 random;
    std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> attempts;
    std::size_t restarted = 0;
    RetryArrivals arrivals;
};

double countBetween(const std::vector<Instant> &times, Instant from, Instant to)
{
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    const auto last = std::lower_bound(first, times.end(), to);
    return static_cast<double>(last - first);
}

double shareOfBudget(const RetryArrivals &arrivals, const RetryPolicy &policy, Instant from)
{
    double calls = 0;
    for (const Duration earlier : {Duration::zero(), policy.window / 2, policy.window}) {
        const Instant start = from - earlier;
        calls = std::max(calls, countBetween(arrivals.calls, start, start + policy.window));
    }
    const double retries = countBetween(arrivals.retries, from, from + policy.window);
    return retries / (policy.ratio * calls + policy.slack);
}

} // namespace

RetryArrivals simulateRetries(const RetryScenario &scenario)
{
    return Simulation(scenario).run();
}

double worstShareOfBudget(const RetryArrivals &arrivals, const RetryPolicy &policy)
{
    double worst = 0;
    for (const Instant retry : arrivals.retries) {
        worst = std::max(worst, shareOfBudget(arrivals, policy, retry));
        // The window that ends with this retry.
        const Instant from = retry - policy.window + Duration(1);
        worst = std::max(worst, shareOfBudget(arrivals, policy, from));
    }
    return worst;
}

} // namespace monsoonbay
