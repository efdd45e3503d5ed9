#include "serving/HarmfulCalls.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace monsoonbay {

namespace {

/**
 * Observations of a target within this time are of the same crash: VMs see it at the same moment,
 * but for the delay of their reports, and a target restarted at once takes longer to run calls.
 */
constexpr Duration sameCrashWindow = std::chrono::milliseconds(200);

/** A crash of one target, with the calls that any VM had running there. */
struct TargetCrash
{
    Instant at{};
    std::int64_t nextStartTime = 0; ///< 0: not known
    std::set<CallIdentity> calls;
    bool explained = false;
};

/** When calls were last answered, by content, and by content and caller. */
struct Answers
{
    std::map<std::uint64_t, Instant> byContent;
    std::map<CallIdentity, Instant> byCall;
};

Answers answersOf(const std::vector<const CallEvidence *> &evidence)
{
    Answers answers;
    for (const CallEvidence *item : evidence) {
        if (!item->target.empty())
            continue;
        for (const CallIdentity &call : item->calls) {
            Instant &content = answers.byContent[call.content];
            content = std::max(content, item->at);
            Instant &same = answers.byCall[call];
            same = std::max(same, item->at);
        }
    }
    return answers;
}

/** The crash that a piece of evidence is about, among those of the same target; null: a new one. */
TargetCrash *findCrash(std::vector<TargetCrash *> &ofTarget, const CallEvidence &item)
{
    for (TargetCrash *crash : ofTarget) {
        const bool sameStart =
            item.nextStartTime != 0 && crash->nextStartTime == item.nextStartTime;
        const bool otherStart = item.nextStartTime != 0 && crash->nextStartTime != 0
            && crash->nextStartTime != item.nextStartTime;
        const Duration apart = item.at > crash->at ? item.at - crash->at : crash->at - item.at;
        if (sameStart || (!otherStart && apart < sameCrashWindow))
            return crash;
    }
    return nullptr;
}

std::vector<TargetCrash> crashesOf(const std::vector<const CallEvidence *> &evidence)
{
    std::vector<const CallEvidence *> ordered;
    for (const CallEvidence *item : evidence) {
        if (!item->target.empty())
            ordered.push_back(item);
    }
    std::sort(ordered.begin(), ordered.end(), [](const CallEvidence *a, const CallEvidence *b) {
        return std::tie(a->target, a->at, a->nextStartTime)
            < std::tie(b->target, b->at, b->nextStartTime);
    });
    std::vector<TargetCrash> crashes;
    crashes.reserve(ordered.size()); // `ofTarget` keeps pointers to elements
    std::vector<TargetCrash *> ofTarget;
    const std::string *target = nullptr;
    for (const CallEvidence *item : ordered) {
        if (target == nullptr || *target != item->target)
            ofTarget.clear();
        target = &item->target;
        TargetCrash *crash = findCrash(ofTarget, *item);
        if (crash == nullptr) {
            crash = &crashes.emplace_back();
            crash->at = item->at;
            ofTarget.push_back(crash);
        }
        crash->nextStartTime = std::max(crash->nextStartTime, item->nextStartTime);
        crash->calls.insert(item->calls.begin(), item->calls.end());
    }
    return crashes;
}

template <typename Key>
bool isCleared(const std::map<Key, Instant> &answers, const Key &key, Instant crash)
{
    const auto answered = answers.find(key);
    return answered != answers.end() && answered->second + answerClearsFor >= crash;
}

/** Crashes that a call could explain, as indices into the list of all crashes. */
using Explained = std::vector<std::size_t>;

/** Crashes that each call could explain, for one caller's calls and for those of all callers. */
struct Candidates
{
    std::map<CallIdentity, Explained> byCall;
    std::map<std::uint64_t, Explained> byContent;
};

Candidates candidatesOf(const std::vector<TargetCrash> &crashes, const Answers &answers)
{
    Candidates candidates;
    for (std::size_t index = 0; index < crashes.size(); ++index) {
        const TargetCrash &crash = crashes[index];
        if (crash.explained)
            continue;
        std::set<std::uint64_t> contents;
        for (const CallIdentity &call : crash.calls) {
            contents.insert(call.content);
            if (!isCleared(answers.byCall, call, crash.at))
                candidates.byCall[call].push_back(index);
        }
        for (const std::uint64_t content : contents) {
            if (!isCleared(answers.byContent, content, crash.at))
                candidates.byContent[content].push_back(index);
        }
    }
    return candidates;
}

/** The largest set of crashes that one call explains; empty: none explains any. */
Explained largestExplained(const Candidates &candidates)
{
    Explained largest;
    const auto consider = [&largest](const auto &explainedBy) {
        for (const auto &[key, crashes] : explainedBy) {
            if (crashes.size() > largest.size())
                largest = crashes;
        }
    };
    consider(candidates.byCall);
    consider(candidates.byContent);
    return largest;
}

/** Calls that explain exactly these crashes; by content alone only if no caller's call does. */
std::vector<HarmfulCall> callsExplaining(const Candidates &candidates, const Explained &crashes,
                                         Instant firstCrashAt)
{
    std::vector<HarmfulCall> found;
    std::set<std::uint64_t> contents;
    const int count = static_cast<int>(crashes.size());
    for (const auto &[call, explained] : candidates.byCall) {
        if (explained != crashes)
            continue;
        found.push_back({call.content, call.caller, count, firstCrashAt});
        contents.insert(call.content);
    }
    for (const auto &[content, explained] : candidates.byContent) {
        if (explained == crashes && contents.count(content) == 0)
            found.push_back({content, std::nullopt, count, firstCrashAt});
    }
    return found;
}

bool matches(const HarmfulCall &harmful, const CallIdentity &call) noexcept
{
    return harmful.content == call.content && (!harmful.caller || *harmful.caller == call.caller);
}

template <typename Key> std::vector<Key> keysOf(const std::map<Key, Explained> &explainedBy)
{
    std::vector<Key> keys;
    for (const auto &[key, crashes] : explainedBy)
        keys.push_back(key);
    return keys;
}

} // namespace

// A crash breaks off many calls, and only one of them is the cause. If crashes were counted for
// each call by itself, calls that repeatedly ran next to a harmful one would be refused with it.
// If two calls explain the same crashes, the next crash or an answer tells them apart, so the
// verdict waits for it.
HarmfulCalls findHarmfulCalls(const std::vector<const CallEvidence *> &evidence)
{
    HarmfulCalls verdict;
    std::vector<TargetCrash> crashes = crashesOf(evidence);
    const Answers answers = answersOf(evidence);
    Candidates candidates = candidatesOf(crashes, answers);
    verdict.suspectCalls = keysOf(candidates.byCall);
    verdict.suspectContents = keysOf(candidates.byContent);
    while (true) {
        const Explained largest = largestExplained(candidates);
        const int count = static_cast<int>(largest.size());
        if (count < crashesToBlock)
            return verdict;
        Instant first = crashes[largest.front()].at;
        for (const std::size_t crash : largest) {
            crashes[crash].explained = true;
            first = std::min(first, crashes[crash].at);
        }
        const std::vector<HarmfulCall> found = callsExplaining(candidates, largest, first);
        if (found.size() == 1 || count >= crashesToBlockTied)
            verdict.calls.insert(verdict.calls.end(), found.begin(), found.end());
        candidates = candidatesOf(crashes, answers);
    }
}

const HarmfulCall *findHarmful(const HarmfulCalls &harmful, const CallIdentity &call) noexcept
{
    const auto found = std::find_if(harmful.calls.begin(), harmful.calls.end(),
                                    [&](const HarmfulCall &known) { return matches(known, call); });
    return found == harmful.calls.end() ? nullptr : &*found;
}

bool isSuspect(const HarmfulCalls &harmful, const CallIdentity &call) noexcept
{
    const std::vector<CallIdentity> &calls = harmful.suspectCalls;
    const std::vector<std::uint64_t> &contents = harmful.suspectContents;
    return std::binary_search(calls.begin(), calls.end(), call)
        || std::binary_search(contents.begin(), contents.end(), call.content);
}

Instant blockedUntil(const HarmfulCall &call) noexcept
{
    return call.firstCrashAt + evidenceTtl;
}

} // namespace monsoonbay
