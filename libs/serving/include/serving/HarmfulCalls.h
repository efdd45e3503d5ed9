#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "serving/CallAttribute.h"
#include "serving/CallEvidence.h"

namespace monsoonbay {

/** Target crashes attributed to a call or a prompt part after which such calls are refused. */
constexpr int crashesToBlock = 3;

/** The same if several explain all of these crashes, and no call has them all: one is the cause. */
constexpr int crashesToBlockTied = 5;

/**
 * An answered call causes no crashes: not those before the answer, and none so soon after it. A
 * call that many callers send is running wherever targets crash, also if several crash at nearly
 * the same time.
 */
constexpr Duration answerClearsFor = std::chrono::seconds(60);

/** Evidence expires after this. */
constexpr Duration evidenceTtl = std::chrono::hours(1);

/** Calls that crash the targets that run them. */
struct HarmfulCall
{
    std::vector<CallAttribute> attributes; ///< such a call has all of them; sorted
    int crashes = 0; ///< number of target crashes attributed to it
    Instant firstCrashAt{};
    Instant lastCrashAt{};

    auto operator<=>(const HarmfulCall &) const = default;
};

/** Conclusions from all evidence that a VM has. */
struct HarmfulCalls
{
    std::vector<HarmfulCall> calls;
    std::vector<CallAttribute> suspects; ///< of calls at crashes, not cleared by any answer; sorted

    auto operator<=>(const HarmfulCalls &) const = default;
};

/**
 * Attributes the crashes of targets to what the calls there had in common, beginning with the
 * attribute that explains most of them. The same evidence gives the same verdict at each VM, in
 * whatever order it arrived.
 */
HarmfulCalls findHarmfulCalls(const std::vector<const CallEvidence *> &evidence);

/** The entry that matches a call; null: the call may be sent to targets. */
const HarmfulCall *findHarmful(const HarmfulCalls &harmful, const CallIdentity &call);

/**
 * What an answer to the call would clear of a crash, as an identity that names only that; nullopt:
 * the answer need not be reported.
 */
std::optional<CallIdentity> clearedByAnswer(const HarmfulCalls &harmful, const CallIdentity &call);

/** A verdict is tried again after this time at the earliest. */
constexpr Duration firstTrialDelay = std::chrono::seconds(5);

/**
 * When such a call may be sent to a target again, to see whether it is still harmful:
 * `firstTrialDelay` after its last crash, or as long after it as that is after the first one.
 */
Instant nextTrialAt(const HarmfulCall &call) noexcept;

} // namespace monsoonbay
