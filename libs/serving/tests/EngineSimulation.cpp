#include "EngineSimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>

#include "serving/HostCopies.h"

namespace monsoonbay {

namespace {

constexpr int engineCount = 90;
constexpr int vmCount = 83;
constexpr int adapterCount = 10000;
constexpr double lengthMs = 30000;
constexpr double countedFromMs = 5000; ///< earlier calls are not counted: engines are empty
constexpr double snapshotIntervalMs = 50; ///< between two snapshots
constexpr double meanAgeMs = 300; ///< mean age of state updates
constexpr double isolatedFromMs = 8000;
constexpr double isolatedToMs = 20000;
constexpr double silenceMs = 1500; ///< after that, the state of other VMs is dropped
constexpr double fetchMs = 288;
constexpr int loadsAtOnce = 40; ///< at all engines; with more, each takes longer
constexpr int loadsPerEngine = 4;
constexpr std::size_t maxDeclines = 6;
constexpr double capacityPollMs = 40;
constexpr double stepMs = 5.5;

struct Engine
{
    double readUntil = 0; ///< end of all prefills; prompts are read in order of arrival
    double waiting = 0;
    double held = 0;
    int runs = 0;
    int shortObjectiveRuns = 0;
    std::map<std::string, int> inUse;
    std::map<std::string, double> loading; ///< end of the load, by adapter
    std::map<std::string, double> usedAt; ///< last use, by resident adapter
    std::shared_ptr<const ResidentVersions> resident = std::make_shared<ResidentVersions>();
    HostCopies copies;
};

struct ObservedEngine
{
    double waiting = 0;
    double held = 0;
    int runs = 0;
    int shortObjectiveRuns = 0;
    int idle = 0;
    std::shared_ptr<const ResidentVersions> resident;
};

struct Snapshot
{
    std::vector<ObservedEngine> engines;
    std::vector<std::vector<double>> own; ///< waiting tokens by VM and engine
    double fetchMs = 0; ///< expected time of a load from the weight store
};

struct Call
{
    std::size_t kind = 0;
    int vm = 0;
    std::string adapter;
    double at = 0;
    std::size_t engine = 0;
    bool loaded = false; ///< it waited for a load
    std::vector<std::size_t> declined;
    std::vector<std::size_t> missed;
};

enum class Step : std::uint8_t { Arrive, Place, Sent, First, End };

struct Event
{
    double at = 0;
    std::uint64_t number = 0;
    Step step = Step::Arrive;
    std::shared_ptr<Call> call;

    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
};

class SimulationRun
{
public:
    explicit SimulationRun(const EngineSimulation &parameters)
        : parameters(parameters)
        , random(parameters.seed)
        , engines(engineCount)
        , own(vmCount, std::vector<double>(engineCount, 0))
        , taken(engineCount, 0)
    {
        double sum = 0;
        for (int rank = 1; rank <= adapterCount; ++rank)
            this->shares.push_back(sum += std::pow(rank, -this->parameters.zipf));
        for (int index = 0; index < engineCount; ++index) {
            EngineView view;
            view.id = "engine-" + std::to_string(index);
            view.hash = stableHash(view.id);
            view.slots = 64;
            view.kvTokens = 232000;
            this->views.push_back(view);
        }
    }

    SimulationResult run()
    {
        for (std::size_t kind = 0; kind < callKinds; ++kind)
            this->arriveNext(kind, 0);
        double snapshotAt = 0;
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            for (; snapshotAt <= event.at; snapshotAt += snapshotIntervalMs)
                this->takeSnapshot();
            this->now = event.at;
            this->process(event);
        }
        for (std::size_t kind = 0; kind < callKinds; ++kind) {
            this->result.onTime[kind] = this->onTimeCalls[kind] / this->allCalls[kind];
            this->result.lateWithoutLoad[kind] =
                this->lateWithoutLoadCalls[kind] / this->allCalls[kind];
        }
        const double sum = std::accumulate(this->taken.begin(), this->taken.end(), 0.0);
        this->result.maxToMeanCalls =
            *std::max_element(this->taken.begin(), this->taken.end()) * engineCount / sum;
        return this->result;
    }

private:
    void add(double at, Step step, std::shared_ptr<Call> call)
    {
        this->events.push({at, ++this->number, step, std::move(call)});
    }

    double drawShare()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void arriveNext(std::size_t kind, double after)
    {
        const double rate = this->parameters.kinds[kind].perSecond * this->parameters.load / 1000;
        auto call = std::make_shared<Call>();
        call->kind = kind;
        call->at = after - std::log(1 - this->drawShare()) / rate;
        if (call->at > lengthMs)
            return;
        call->vm = static_cast<int>(this->drawShare() * vmCount);
        const auto drawn = std::lower_bound(this->shares.begin(), this->shares.end(),
                                            this->drawShare() * this->shares.back());
        call->adapter = "m/adapter-" + std::to_string(drawn - this->shares.begin());
        const double at = call->at;
        this->add(at, Step::Arrive, std::move(call));
    }

    void takeSnapshot()
    {
        Snapshot snapshot;
        for (const Engine &engine : this->engines)
            snapshot.engines.push_back(
                {engine.waiting, engine.held, engine.runs, engine.shortObjectiveRuns,
                 this->parameters.adapterSlots - static_cast<int>(engine.inUse.size()),
                 engine.resident});
        snapshot.own = this->own;
        snapshot.fetchMs = this->fetchTime();
        this->snapshots.push_back(std::move(snapshot));
    }

    bool isIsolated(int vm) const
    {
        return this->parameters.isolatedThird && vm % 3 == 0 && this->now >= isolatedFromMs
            && this->now < isolatedToMs;
    }

    /** Age that the VM assumes for its state updates. */
    double ageOf(int vm) const
    {
        const bool silent = this->parameters.knowsStateAge && this->isIsolated(vm);
        return meanAgeMs + (silent ? this->now - isolatedFromMs : 0);
    }

    void updateViews(const Call &call)
    {
        const bool isolated = this->isIsolated(call.vm);
        const double silent = isolated ? this->now - isolatedFromMs : 0;
        const double updatedAt = this->now - silent - meanAgeMs * (0.5 + this->drawShare());
        const auto index = static_cast<std::size_t>(std::max(updatedAt / snapshotIntervalMs, 0.0));
        const Snapshot &snapshotSeen = this->snapshots[std::min(index, this->snapshots.size() - 1)];
        const bool dropped = silent > silenceMs;
        const double age = this->ageOf(call.vm);
        const auto vm = static_cast<std::size_t>(call.vm);
        for (std::size_t number = 0; number < this->views.size(); ++number) {
            EngineView &view = this->views[number];
            const ObservedEngine &seen = snapshotSeen.engines[number];
            const double others = dropped ? 0 : seen.waiting - snapshotSeen.own[vm][number];
            view.waitingTokens = others + this->own[vm][number];
            view.heldTokens = dropped ? 0 : seen.held;
            view.runs = dropped ? 0 : seen.runs;
            view.shortObjectiveRuns = dropped ? 0 : seen.shortObjectiveRuns;
            view.idleSlots = dropped ? this->parameters.adapterSlots : seen.idle;
            view.resident = contains(call.missed, number) ? nullptr : seen.resident.get();
            view.hasHolder = !isolated && !contains(call.declined, number);
            view.warm = hasHostCopy(this->engines[number].copies, call.adapter, HostRetention());
            view.fetchMs = snapshotSeen.fetchMs;
            view.loadMs = view.warm ? fetchMs / 10 + 15 : snapshotSeen.fetchMs;
            view.jitterMs = age * this->drawShare();
        }
    }

    static bool contains(const std::vector<std::size_t> &list, std::size_t number)
    {
        return std::find(list.begin(), list.end(), number) != list.end();
    }

    void place(const std::shared_ptr<Call> &call)
    {
        const SimulatedCallKind &kind = this->parameters.kinds[call->kind];
        EngineNeed need;
        need.adapter = call->adapter;
        need.promptTokens = kind.promptTokens;
        need.outputTokens = 200;
        need.objectives.firstEventMs = kind.objectiveMs;
        if (this->parameters.byForecast)
            need.shortestObjectiveMs = this->parameters.kinds[shortestObjectiveKind].objectiveMs;
        need.stateAgeMs = this->parameters.earlyCopies ? this->ageOf(call->vm) : 0;
        while (true) {
            this->updateViews(*call);
            need.mayCopyEarly = call->declined.empty();
            const EngineChoice choice =
                chooseEngine(this->views, need, {}, this->parameters.weights);
            const bool over = this->now - call->at > 0.7 * kind.objectiveMs;
            if (choice.step != EngineStep::Send && over)
                return this->finish(*call, false);
            if (choice.step == EngineStep::Send) {
                call->engine = choice.engine;
                return this->add(this->now + 2, Step::Sent, call);
            }
            if (choice.step != EngineStep::Load || call->declined.size() >= maxDeclines) {
                call->declined.clear();
                return this->add(this->now + capacityPollMs, Step::Place, call);
            }
            const double loaded = this->load(choice.engine, call->adapter);
            call->engine = choice.engine;
            call->loaded = true;
            if (loaded > 0)
                return this->add(loaded, Step::Sent, call);
            call->declined.push_back(choice.engine);
        }
    }

    /** When the adapter will be resident; 0: the load is declined. */
    double load(std::size_t number, const std::string &adapter)
    {
        Engine &engine = this->engines[number];
        this->completeLoads(engine);
        if (engine.usedAt.count(adapter) > 0)
            return this->now + 1;
        const auto underWay = engine.loading.find(adapter);
        if (underWay != engine.loading.end())
            return underWay->second;
        if (engine.loading.size() >= loadsPerEngine)
            return 0;
        const auto slots = static_cast<std::size_t>(this->parameters.adapterSlots);
        if (engine.usedAt.size() + engine.loading.size() >= slots) {
            auto oldest = engine.usedAt.end();
            for (auto at = engine.usedAt.begin(); at != engine.usedAt.end(); ++at) {
                if (engine.inUse.count(at->first) > 0)
                    continue;
                if (oldest == engine.usedAt.end() || at->second < oldest->second)
                    oldest = at;
            }
            if (oldest == engine.usedAt.end())
                return 0;
            recordTouch(engine.copies, oldest->first);
            engine.usedAt.erase(oldest);
            this->publishResidents(engine);
        }
        const bool warm = hasHostCopy(engine.copies, adapter, HostRetention());
        const double takes = warm ? fetchMs / 10 : this->fetchTime();
        ++this->result.loads;
        if (!warm) {
            ++this->result.fetches;
            this->fetching.push_back(this->now + takes);
        }
        engine.loading[adapter] = this->now + takes;
        return this->now + takes;
    }

    double fetchTime()
    {
        std::erase_if(this->fetching, [this](double until) { return until <= this->now; });
        return fetchMs * std::max(1.0, double(this->fetching.size()) / loadsAtOnce);
    }

    /** Moves the adapters whose loads are done by now into their slots. */
    void completeLoads(Engine &engine)
    {
        for (auto at = engine.loading.begin(); at != engine.loading.end();) {
            if (at->second > this->now) {
                ++at;
                continue;
            }
            engine.usedAt[at->first] = this->now;
            recordTouch(engine.copies, at->first);
            at = engine.loading.erase(at);
            this->publishResidents(engine);
        }
    }

    static void publishResidents(Engine &engine)
    {
        auto resident = std::make_shared<ResidentVersions>();
        for (const auto &[adapter, at] : engine.usedAt)
            resident->emplace(adapter, 1);
        engine.resident = std::move(resident);
    }

    void finish(const Call &call, bool onTime)
    {
        if (call.at < countedFromMs)
            return;
        this->allCalls[call.kind] += 1;
        this->onTimeCalls[call.kind] += onTime ? 1 : 0;
        this->lateWithoutLoadCalls[call.kind] += !onTime && !call.loaded ? 1 : 0;
    }

    void process(const Event &event)
    {
        const std::shared_ptr<Call> &call = event.call;
        const SimulatedCallKind &kind = this->parameters.kinds[call->kind];
        Engine &engine = this->engines[call->engine];
        switch (event.step) {
        case Step::Arrive:
            this->arriveNext(call->kind, this->now);
            return this->place(call);
        case Step::Place:
            return this->place(call);
        case Step::Sent: {
            this->completeLoads(engine);
            if (engine.usedAt.count(call->adapter) == 0) {
                call->missed.push_back(call->engine);
                return this->place(call);
            }
            engine.usedAt[call->adapter] = this->now;
            ++engine.inUse[call->adapter];
            ++engine.runs;
            ++this->taken[call->engine];
            engine.waiting += kind.promptTokens;
            engine.held += kind.promptTokens + 200;
            this->own[static_cast<std::size_t>(call->vm)][call->engine] += kind.promptTokens;
            const double slower = 1 + 0.01 * engine.runs;
            engine.readUntil = std::max(engine.readUntil, this->now)
                + kind.promptTokens * slower / this->parameters.weights.promptTokensPerMs;
            return this->add(engine.readUntil + stepMs, Step::First, call);
        }
        case Step::First:
            engine.waiting -= kind.promptTokens;
            this->own[static_cast<std::size_t>(call->vm)][call->engine] -= kind.promptTokens;
            this->finish(*call, this->now - call->at <= kind.objectiveMs);
            engine.shortObjectiveRuns += call->kind == shortestObjectiveKind ? 1 : 0;
            return this->add(this->now + kind.streamMs, Step::End, call);
        case Step::End:
            engine.shortObjectiveRuns -= call->kind == shortestObjectiveKind ? 1 : 0;
            --engine.runs;
            engine.held -= kind.promptTokens + 200;
            if (--engine.inUse[call->adapter] == 0)
                engine.inUse.erase(call->adapter);
        }
    }

    EngineSimulation parameters;
    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::vector<EngineView> views;
    std::vector<std::vector<double>> own;
    std::vector<double> shares;
    std::vector<double> taken;
    std::vector<Snapshot> snapshots;
    std::vector<double> fetching;
    std::priority_queue<Event> events;
    std::uint64_t number = 0;
    double now = 0;
    SimulationResult result;
    std::array<double, callKinds> allCalls{};
    std::array<double, callKinds> onTimeCalls{};
    std::array<double, callKinds> lateWithoutLoadCalls{};
};

} // namespace

SimulationResult simulate(const EngineSimulation &parameters)
{
    return SimulationRun(parameters).run();
}

} // namespace monsoonbay
