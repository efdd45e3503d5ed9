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
};

/** When calls with an attribute were last answered. */
using Answers = std::map<CallAttribute, Instant>;

Answers answersOf(const std::vector<const CallEvidence *> &evidence)
{
    Answers answers;
    for (const CallEvidence *item : evidence) {
        if (!item->target.empty())
            continue;
        for (const CallIdentity &call : item->calls) {
            for (const CallAttribute &attribute : attributesOf(call)) {
                Instant &last = answers[attribute];
                last = std::max(last, item->at);
            }
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

bool isCleared(const Answers &answers, const CallAttribute &attribute, Instant crash)
{
    const auto answered = answers.find(attribute);
    return answered != answers.end() && answered->second + answerClearsFor >= crash;
}

/** Crashes that an attribute could explain, as sorted indices into the list of all crashes. */
using Explained = std::vector<std::size_t>;

struct Candidate
{
    CallAttribute attribute;
    Explained crashes;
};

/** What could explain some crash, sorted by attribute. */
std::vector<Candidate> candidatesOf(const std::vector<TargetCrash> &crashes, const Answers &answers)
{
    std::vector<std::pair<CallAttribute, std::size_t>> pairs;
    for (std::size_t index = 0; index < crashes.size(); ++index) {
        for (const CallIdentity &call : crashes[index].calls) {
            for (const CallAttribute &attribute : attributesOf(call))
                pairs.emplace_back(attribute, index);
        }
    }
    std::sort(pairs.begin(), pairs.end());
    pairs.erase(std::unique(pairs.begin(), pairs.end()), pairs.end());
    std::vector<Candidate> candidates;
    for (const auto &[attribute, index] : pairs) {
        if (isCleared(answers, attribute, crashes[index].at))
            continue;
        if (candidates.empty() || candidates.back().attribute != attribute)
            candidates.push_back({attribute, {}});
        candidates.back().crashes.push_back(index);
    }
    return candidates;
}

/** The largest set of crashes that one attribute explains; empty: none explains any. */
Explained largestExplained(const std::vector<Candidate> &candidates)
{
    const auto largest = std::max_element(candidates.begin(), candidates.end(),
                                          [](const Candidate &left, const Candidate &right) {
                                              return left.crashes.size() < right.crashes.size();
                                          });
    return largest == candidates.end() ? Explained() : largest->crashes;
}

bool has(const std::vector<CallAttribute> &attributes, const CallAttribute &attribute)
{
    return std::binary_search(attributes.begin(), attributes.end(), attribute);
}

/** True if a call at the crash has both: the wider one is there because of the narrower one. */
bool isImplied(const TargetCrash &crash, const CallAttribute &narrower, const CallAttribute &wider)
{
    return std::any_of(crash.calls.begin(), crash.calls.end(), [&](const CallIdentity &call) {
        const std::vector<CallAttribute> attributes = attributesOf(call);
        return has(attributes, narrower) && has(attributes, wider);
    });
}

/** Attributes that explain exactly these crashes, but for those that a narrower one implies. */
std::vector<CallAttribute> attributesExplaining(const std::vector<Candidate> &candidates,
                                                const Explained &explained,
                                                const TargetCrash &crash)
{
    std::vector<CallAttribute> found;
    for (const Candidate &candidate : candidates) {
        if (candidate.crashes != explained)
            continue;
        const bool implied =
            std::any_of(found.begin(), found.end(), [&](const CallAttribute &narrower) {
                return narrower.kind < candidate.attribute.kind
                    && isImplied(crash, narrower, candidate.attribute);
            });
        if (!implied)
            found.push_back(candidate.attribute);
    }
    return found;
}

/** One entry for each content, and one for all parts together: a harmful call has all of these. */
std::vector<HarmfulCall> alternativesOf(const std::vector<CallAttribute> &attributes,
                                        const HarmfulCall &explained)
{
    std::vector<HarmfulCall> alternatives;
    HarmfulCall parts = explained;
    for (const CallAttribute &attribute : attributes) {
        if (attribute.kind == AttributeKind::PromptPart)
            parts.attributes.push_back(attribute);
        else
            alternatives.push_back(
                {{attribute}, explained.crashes, explained.firstCrashAt, explained.lastCrashAt});
    }
    if (!parts.attributes.empty())
        alternatives.push_back(std::move(parts));
    return alternatives;
}

void removeExplained(std::vector<Candidate> &candidates, const Explained &explained)
{
    for (Candidate &candidate : candidates) {
        std::erase_if(candidate.crashes, [&explained](std::size_t crash) {
            return std::binary_search(explained.begin(), explained.end(), crash);
        });
    }
}

} // namespace

// A crash breaks off many calls, and only one of them is the cause. If crashes were counted for
// each attribute by itself, calls that repeatedly ran next to a harmful one would be refused with
// it. If two calls explain the same crashes, the next crash or an answer tells them apart, so the
// verdict waits for it. Parts that always came together need no wait: only calls with all of them
// are refused, and the others' answers clear the harmless parts.
HarmfulCalls findHarmfulCalls(const std::vector<const CallEvidence *> &evidence)
{
    HarmfulCalls verdict;
    const std::vector<TargetCrash> crashes = crashesOf(evidence);
    std::vector<Candidate> candidates = candidatesOf(crashes, answersOf(evidence));
    for (const Candidate &candidate : candidates)
        verdict.suspects.push_back(candidate.attribute);
    while (true) {
        const Explained largest = largestExplained(candidates);
        const int count = static_cast<int>(largest.size());
        if (count < crashesToBlock)
            return verdict;
        HarmfulCall explained;
        explained.crashes = count;
        explained.firstCrashAt = crashes[largest.front()].at;
        for (const std::size_t crash : largest) {
            explained.firstCrashAt = std::min(explained.firstCrashAt, crashes[crash].at);
            explained.lastCrashAt = std::max(explained.lastCrashAt, crashes[crash].at);
        }
        const std::vector<HarmfulCall> alternatives = alternativesOf(
            attributesExplaining(candidates, largest, crashes[largest.front()]), explained);
        if (alternatives.size() == 1 || count >= crashesToBlockTied)
            verdict.calls.insert(verdict.calls.end(), alternatives.begin(), alternatives.end());
        removeExplained(candidates, largest);
    }
}

const HarmfulCall *findHarmful(const HarmfulCalls &harmful, const CallIdentity &call)
{
    const std::vector<CallAttribute> attributes = attributesOf(call);
    const auto found =
        std::find_if(harmful.calls.begin(), harmful.calls.end(), [&](const HarmfulCall &known) {
            return std::includes(attributes.begin(), attributes.end(), known.attributes.begin(),
                                 known.attributes.end());
        });
    return found == harmful.calls.end() ? nullptr : &*found;
}

std::optional<CallIdentity> clearedByAnswer(const HarmfulCalls &harmful, const CallIdentity &call)
{
    CallIdentity suspect;
    for (const CallAttribute &attribute : attributesOf(call)) {
        if (!has(harmful.suspects, attribute))
            continue;
        if (attribute.kind == AttributeKind::PromptPart) {
            suspect.parts.push_back(attribute.value);
        } else {
            suspect.content = call.content;
            suspect.caller = call.caller;
        }
    }
    return suspect == CallIdentity() ? std::nullopt : std::optional(std::move(suspect));
}

// Refused calls bring no answer that could clear them, so a wrong verdict, as after ends of many
// targets with a common cause, would stand until the evidence expires.
Instant nextTrialAt(const HarmfulCall &call) noexcept
{
    return call.lastCrashAt + std::max(firstTrialDelay, call.lastCrashAt - call.firstCrashAt);
}

} // namespace monsoonbay
