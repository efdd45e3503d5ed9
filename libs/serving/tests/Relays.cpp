#include <algorithm>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/ChangeLog.h"
#include "serving/EngineRecord.h"
#include "serving/UsageLedger.h"
#include "serving/ZoneRelay.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

ZonePeer zonePeer(double capacity, std::uint64_t hash)
{
    ZonePeer peer;
    peer.rank.capacity = capacity;
    peer.rank.hash = hash;
    return peer;
}

TargetUsages usageOf(const std::string &target, int runs, double tokens)
{
    TargetUsage usage;
    usage.runs = runs;
    usage.waitingTokens = tokens;
    usage.heldTokens = 2 * tokens;
    return {{target, usage}};
}

ReporterUsage reportOf(TargetUsages uses, Instant at)
{
    ReporterUsage report;
    report.targets = std::move(uses);
    report.at = at;
    return report;
}

} // namespace

Test(relays, the_strongest_vm_that_reaches_the_store_is_the_relay)
{
    RelayRank self;
    self.capacity = 0.25;
    self.hash = 5;
    std::vector<ZonePeer> peers{zonePeer(0.5, 9), zonePeer(0.25, 1)};
    cr_assert_eq(chooseUpstream(self, false, peers), std::optional<std::size_t>(0));
    peers[0].rank.storeUnreachable = true;
    cr_assert_eq(chooseUpstream(self, false, peers), std::optional<std::size_t>(1));
    peers[1].reachable = false;
    cr_assert(!chooseUpstream(self, false, peers));
    cr_assert(isRelay(self, false, peers));
}

// Guards against a VM that is started while the store is unreachable and learns nothing although
// its zone peers have all state: as the strongest it has no VM above it and only tries the store. A
// starting VM must take updates from any VM that is not starting.
Test(relays, a_starting_vm_takes_updates_from_lower_ranked_vms)
{
    RelayRank self;
    self.capacity = 0.5;
    std::vector<ZonePeer> peers{zonePeer(0.25, 1)};
    cr_assert(isRelay(self, true, peers));
    cr_assert(!chooseUpstream(self, false, peers));
    cr_assert_eq(chooseUpstream(self, true, peers), std::optional<std::size_t>(0));
    peers[0].starting = true;
    cr_assert(!chooseUpstream(self, true, peers), "that peer has no state either");
}

// Guards against a VM that neither reads the list nor receives it, because the VM above it is
// starting.
Test(relays, a_vm_stays_relay_until_the_one_above_it_has_started)
{
    RelayRank self;
    self.capacity = 0.25;
    std::vector<ZonePeer> peers{zonePeer(0.5, 1)};
    peers[0].starting = true;
    cr_assert(!chooseUpstream(self, false, peers));
    cr_assert(isRelay(self, false, peers));
    peers[0].starting = false;
    cr_assert(!isRelay(self, false, peers));
}

// VMs that see the same zone peers agree on one relay, and all others report to it.
Test(relays, vms_with_the_same_view_agree)
{
    const bool holds = rc::check("one relay", [] {
        const int count = *rc::gen::inRange(1, 12);
        std::vector<ZonePeer> all;
        for (int vm = 0; vm < count; ++vm) {
            ZonePeer peer =
                zonePeer(*rc::gen::element(0.12, 0.25, 0.5), static_cast<std::uint64_t>(vm));
            peer.rank.storeUnreachable = *rc::gen::arbitrary<bool>();
            all.push_back(peer);
        }
        int relays = 0;
        std::set<std::uint64_t> upstreams;
        for (int vm = 0; vm < count; ++vm) {
            std::vector<ZonePeer> others = all;
            others.erase(others.begin() + vm);
            const RelayRank &self = all[static_cast<std::size_t>(vm)].rank;
            const auto upstream = chooseUpstream(self, false, others);
            RC_ASSERT(isRelay(self, false, others) == !upstream.has_value());
            relays += upstream ? 0 : 1;
            upstreams.insert(upstream ? others[*upstream].rank.hash : self.hash);
        }
        RC_ASSERT(relays == 1);
        RC_ASSERT(upstreams.size() == std::size_t(1));
    });
    cr_assert(holds);
}

Test(relays, lease_holders_are_the_best_ranked_reachable_vms)
{
    std::vector<ZonePeer> peers{zonePeer(0.12, 1), zonePeer(0.5, 2), zonePeer(0.25, 3),
                                zonePeer(0.25, 4)};
    peers[2].reachable = false;
    cr_assert_eq(chooseLeaseHolders(peers, 2), (std::vector<std::size_t>{1, 3}));
}

// Guards against engines without commands for 3 to 6 s after a change of the relay: the new relay
// ranked its peers by what it had seen of them and chose other lease holders, so that the store
// reassigned all engines. Current lease holders must be preferred.
Test(relays, those_that_hold_already_go_on)
{
    std::vector<ZonePeer> peers{zonePeer(0.5, 1), zonePeer(0.25, 2), zonePeer(0.12, 3),
                                zonePeer(0.12, 4)};
    peers[2].leaseHolder = true;
    peers[3].leaseHolder = true;
    peers[3].rank.storeUnreachable = true;
    cr_assert_eq(chooseLeaseHolders(peers, 2), (std::vector<std::size_t>{2, 3}));
    peers[2].reachable = false;
    cr_assert_eq(chooseLeaseHolders(peers, 2), (std::vector<std::size_t>{3, 0}));
}

// Guards against engines that get no commands because their lease holders do not reach them.
Test(relays, vms_that_reach_no_engines_hold_leases_last)
{
    std::vector<ZonePeer> peers{zonePeer(0.25, 1), zonePeer(0.25, 2), zonePeer(0.25, 3)};
    peers[0].leaseHolder = true;
    peers[0].linksLost = true;
    cr_assert_eq(chooseLeaseHolders(peers, 2), (std::vector<std::size_t>{1, 2}));
    peers[1].linksLost = true;
    cr_assert_eq(chooseLeaseHolders(peers, 2), (std::vector<std::size_t>{2, 0}));
}

// The sum must equal adding up all current reports, whatever reports came, went or were replaced: a
// remainder would make an engine look busy for ever.
Test(relays, the_ledger_is_the_sum_of_the_newest_reports)
{
    const bool holds = rc::check("sum", [] {
        UsageLedger ledger;
        std::map<std::string, ReporterUsage> reference;
        Instant now = start;
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            now += 100ms;
            const std::string reporter = "vm-" + std::to_string(*rc::gen::inRange(0, 4));
            const std::string target = "t-" + std::to_string(*rc::gen::inRange(0, 3));
            const int runs = *rc::gen::inRange(0, 5);
            const ReporterUsage report = reportOf(usageOf(target, runs, 100.0 * runs), now);
            applyReport(ledger, reporter, report);
            reference[reporter] = report;
            if (*rc::gen::inRange(0, 5) == 0) {
                dropSilent(ledger, 300ms, now);
                std::erase_if(reference,
                              [now](const auto &old) { return now - old.second.at > 300ms; });
            }
        }
        std::map<std::string, std::pair<int, double>> expected;
        for (const auto &[reporter, report] : reference) {
            for (const auto &[target, usage] : report.targets) {
                expected[target].first += usage.runs;
                expected[target].second += usage.waitingTokens;
            }
        }
        for (const auto &[target, sum] : expected) {
            const auto found = ledger.total.find(target);
            RC_ASSERT((found == ledger.total.end() ? 0 : found->second.runs) == sum.first);
            RC_ASSERT((found == ledger.total.end() ? 0 : found->second.waitingTokens)
                      == sum.second);
        }
        RC_ASSERT(reportedVms(ledger) == static_cast<int>(reference.size()));
    });
    cr_assert(holds);
}

Test(relays, a_reporter_does_not_receive_its_own_usage)
{
    UsageLedger ledger;
    applyReport(ledger, "a", reportOf(usageOf("t", 3, 300), start));
    applyReport(ledger, "b", reportOf(usageOf("t", 2, 200), start));
    cr_assert_eq(usagesExcept(ledger, "a").at("t").runs, 2);
    cr_assert_eq(usagesExcept(ledger, "nobody").at("t").runs, 5);
}

// Guards against calls sent to engines that have unloaded their adapter: a lease moves to another
// holder, and the records of both arrive in reverse order, also through a third VM.
Test(relays, the_record_of_the_later_lease_wins_in_any_order)
{
    EngineRecord former;
    former.revision = {4, 1, 90};
    EngineRecord later;
    later.revision = {5, 1, 1};
    cr_assert(mayReplaceRecord(former, later));
    cr_assert(!mayReplaceRecord(later, former));
    EngineRecord restarted;
    restarted.revision = {5, 2, 1};
    later.revision.count = 70;
    cr_assert(mayReplaceRecord(later, restarted), "the same lease, the next boot");
    EngineRecord silent = restarted;
    silent.holderLive = !restarted.holderLive;
    cr_assert(mayReplaceRecord(restarted, silent));
    cr_assert(!mayReplaceRecord(restarted, restarted));
}

// Guards against calls sent to engines that lost their adapters in a restart under the same id,
// when records of the former start, even of a later lease, arrive afterwards.
Test(relays, records_of_a_former_start_are_dropped)
{
    EngineRecord current;
    current.startTime = 5000;
    current.revision = {4, 1, 91};
    EngineRecord former;
    former.startTime = 1000;
    former.revision = {5, 1, 1};
    cr_assert(!mayReplaceRecord(current, former));
    cr_assert(mayReplaceRecord(former, current));
}

// A reader that asks for changes since its last reply ends up with all values, however the requests
// are spaced.
Test(relays, a_reader_of_changes_misses_nothing)
{
    const bool holds = rc::check("changes", [] {
        ChangeCounter counter;
        ChangeLog<int, int> log;
        std::map<int, int> read;
        std::uint64_t seen = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            log.set(*rc::gen::inRange(0, 6), *rc::gen::inRange(0, 4), counter);
            if (*rc::gen::inRange(0, 3) != 0)
                continue;
            log.since(seen, [&read](int key, int value) { read[key] = value; });
            seen = counter.last;
        }
        log.since(seen, [&read](int key, int value) { read[key] = value; });
        for (const auto &[key, entry] : log.all())
            RC_ASSERT(read.at(key) == entry.value);
        RC_ASSERT(read.size() == log.all().size());
    });
    cr_assert(holds);
}
