#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "serving/CallEvidence.h"

namespace monsoonbay {

/** Target crashes attributed to one call after which it is no longer sent to targets. */
constexpr int crashesToBlock = 3;

/** The same if several calls were running at all of these crashes: one of them is the cause. */
constexpr int crashesToBlockTied = 5;

/**
 * An answered call causes no crashes: not those before the answer, and none so soon after it. A
 * call that many callers send is running wherever targets crash, also if several crash at nearly
 * the same time.
 */
constexpr Duration answerClearsFor = std::chrono::seconds(60);

/** Evidence expires after this. A call that is still harmful then crashes as many targets again. */
constexpr Duration evidenceTtl = std::chrono::hours(1);

/** A call that crashes the targets that run it. */
struct HarmfulCall
{
    std::uint64_t content = 0;
    std::optional<std::uint64_t> caller; ///< nullopt: any caller
    int crashes = 0; ///< number of target crashes attributed to it
    Instant firstCrashAt{};

    auto operator<=>(const HarmfulCall &) const = default;
};

/** Conclusions from all evidence that a VM has. */
struct HarmfulCalls
{
    std::vector<HarmfulCall> calls;
    // Running at crashes that no answer has cleared them of; sorted.
    std::vector<CallIdentity> suspectCalls;
    std::vector<std::uint64_t> suspectContents;

    auto operator<=>(const HarmfulCalls &) const = default;
};

/**
 * Attributes the crashes of targets to calls, beginning with the call that explains most of them.
 * The same evidence gives the same verdict at each VM, in whatever order it arrived.
 */
HarmfulCalls findHarmfulCalls(const std::vector<const CallEvidence *> &evidence);

/** The entry that matches a call; null: the call may be sent to targets. */
const HarmfulCall *findHarmful(const HarmfulCalls &harmful, const CallIdentity &call) noexcept;

/** True if an answer to the call would clear it of a crash; no other answer has to be reported. */
bool isSuspect(const HarmfulCalls &harmful, const CallIdentity &call) noexcept;

/** When a harmful call may be tried again, if it crashes no further target. */
Instant blockedUntil(const HarmfulCall &call) noexcept;

} // namespace monsoonbay
