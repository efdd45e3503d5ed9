#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "serving/CallEvidence.h"

namespace monsoonbay {

/** A call is kept from targets once this many have ended under it. */
constexpr int crashesToBlock = 3;

/** The same where several calls were under way at all of these ends: one of them is to blame. */
constexpr int crashesToBlockTied = 5;

/**
 * A call that was answered ends no targets, and will not begin to soon: a call that many make is
 * under way wherever targets end, also where several end at nearly the same time.
 */
constexpr Duration answerClearsFor = std::chrono::seconds(60);

/** Evidence counts this long. A call that still does harm costs that many targets again then. */
constexpr Duration evidenceTtl = std::chrono::hours(1);

/** A call that ends the targets that run it. */
struct HarmfulCall
{
    std::uint64_t content = 0;
    std::optional<std::uint64_t> caller; ///< nothing: whoever sends it
    int crashes = 0; ///< of targets that it explains
    Instant firstCrashAt{};

    auto operator<=>(const HarmfulCall &) const = default;
};

/** What follows from all evidence that a VM has. */
struct HarmfulCalls
{
    std::vector<HarmfulCall> calls;
    // Under which targets ended that no answer has voided; sorted.
    std::vector<CallIdentity> suspectCalls;
    std::vector<std::uint64_t> suspectContents;

    auto operator<=>(const HarmfulCalls &) const = default;
};

/**
 * Finds the calls that explain the ends of targets, the one that explains most of them first. The
 * same evidence gives the same verdict at each VM, in whatever order it came.
 */
HarmfulCalls findHarmfulCalls(const std::vector<const CallEvidence *> &evidence);

/** Null: the call may be sent to targets. */
const HarmfulCall *findHarmful(const HarmfulCalls &harmful, const CallIdentity &call) noexcept;

/** True if an answer to the call would void an end; any other is not worth telling. */
bool isSuspect(const HarmfulCalls &harmful, const CallIdentity &call) noexcept;

/** When a harmful call may be tried again, if no further target ends under it. */
Instant blockedUntil(const HarmfulCall &call) noexcept;

} // namespace monsoonbay
