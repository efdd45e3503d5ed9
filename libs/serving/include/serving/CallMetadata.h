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

/** Metadata that a caller sends with a call, read once from its headers. */
struct CallMetadata
{
    std::string attemptId; ///< the caller's id of this attempt
    std::optional<Duration> timeLeft; ///< how long the caller will wait
    std::string model;
    std::string adapter; ///< key; empty: the base model alone
    bool modelMalformed = false; ///< not UTF-8, or a slash without a name
    std::string callerKey; ///< the caller's API key, a secret; empty: none, or more than one
    /** Tokens of the prompt and the longest output together; nullopt: not given. */
    std::optional<std::int64_t> tokens;
    bool tokensMalformed = false; ///< the given token count is not a number
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::vector<PromptPart> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event the caller has
    std::string resumes; ///< attempt that delivered the first event of the resumed stream

    auto operator<=>(const CallMetadata &) const = default;
};

/** Metadata that the system adds to a call when it sends the call to a target. */
struct SendMetadata
{
    std::string targetId;
    std::optional<Duration> timeLeft;
    std::int64_t expectedVersion = 0; ///< of the adapter; 0: any
    std::optional<int> urgency; ///< 0 is the most urgent
    std::string workspace; ///< that the call belongs to; empty: none
    std::optional<std::uint64_t> resumeAfter;

    auto operator<=>(const SendMetadata &) const = default;
};

/** Metadata from the headers of a target's answer. */
struct AnswerMetadata
{
    std::string attemptId; ///< the attempt that it answers; empty: not given
    bool fromTarget = false; ///< it bears a mark of a target, so nothing else on the way sent it
    bool authentic = false; ///< it carries the target's seal, and its body was not re-encoded
    bool notRun = false; ///< the target has not run the call
    bool misdirected = false; ///< another target has the address, or this one lacks the adapter
    bool leaving = false; ///< the target will shut down soon
    Duration backoffTime{}; ///< with a refusal: time for which this VM should send it no calls
    std::optional<double> callsPerSecond; ///< the target's limit for all VMs; nullopt: none
    std::string answeredBy; ///< id of the target that answered; empty: not given

    auto operator<=>(const AnswerMetadata &) const = default;
};

} // namespace monsoonbay
