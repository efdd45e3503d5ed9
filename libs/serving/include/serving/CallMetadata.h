#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** A part of a prompt that other calls may share. */
struct PromptPart
{
    std::string id;
    int tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/** What a caller's call says of itself, read once from its headers. */
struct CallMetadata
{
    std::string attemptId; ///< the caller's id of this attempt
    std::optional<Duration> timeLeft; ///< how long the caller will wait
    std::string model;
    std::string adapter; ///< key; empty: the base model alone
    std::string callerKey; ///< a secret; empty: it has none, or more than one
    /** Prompt and most output together; nothing: it does not say. */
    std::optional<std::int64_t> tokens;
    bool tokensMalformed = false; ///< what it says of its tokens is no count
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event the caller has
    std::string resumes; ///< attempt that brought the first event of the stream it takes up

    auto operator<=>(const CallMetadata &) const = default;
};

/** What the system adds to a call when it sends it to a target. */
struct SendMetadata
{
    std::string targetId;
    std::optional<Duration> timeLeft;
    std::int64_t expectedVersion = 0; ///< of the adapter; 0: any
    std::optional<int> urgency; ///< 0 goes first
    std::string workspace; ///< whose call it is; empty: nobody's
    std::optional<std::uint64_t> resumeAfter;

    auto operator<=>(const SendMetadata &) const = default;
};

/** What an answer's head says of itself. */
struct AnswerMetadata
{
    std::string attemptId; ///< the attempt that it answers; empty if it does not say
    bool authentic = false; ///< it bears the target's seal, and its body is as the target made it
    bool notRun = false; ///< the target says it has not run the call
    bool misdirected = false; ///< another target has the address, or this one lacks the adapter
    bool leaving = false; ///< the target says that it will end soon
    Duration backoffTime{}; ///< with a refusal: it wants no calls of this VM for so long
    std::optional<double> callsPerSecond; ///< that the target takes from all VMs; empty: no limit
    std::string answeredBy; ///< id of the target that answered; empty if it does not say

    auto operator<=>(const AnswerMetadata &) const = default;
};

} // namespace monsoonbay
