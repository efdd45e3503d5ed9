#pragma once

#include <optional>
#include <string>

#include "BodyDelimiter.h"
#include "access/KeyTable.h"
#include "core/Time.h"
#include "gateway/PlatformPort.h"

namespace monsoonbay {

/** Metadata of a call that one VM forwards to another, in a header of the request. */
struct ForwardedCall
{
    std::int64_t configVersion = 0; ///< that the call is served by
    std::string service;
    std::string workspace; ///< empty: none
    std::optional<KeyDigest> key; ///< nullopt: the route needs none
    std::int64_t units = 0; ///< charged to the workspace's limit by the forwarding VM
    std::string callerAddress;
    Duration waited{}; ///< since the call arrived at the forwarding VM
    int runs = 0; ///< that may have begun before
    bool hasBody = false; ///< the caller sent one, even an empty one
    std::optional<std::string> origin; ///< software version that its stream must continue on

    auto operator<=>(const ForwardedCall &) const = default;
};

/** Why a VM refuses a forwarded call. */
enum class ForwardRefusal : std::uint8_t {
    None, ///< it accepts it
    Malformed, ///< the header cannot be parsed
    Stopping,
    LinksLost, ///< it does not reach the targets either
    ConfigMismatch, ///< it has another version of the configuration
    Busy, ///< it already serves too many forwarded calls
};

std::string_view refusalName(ForwardRefusal refusal) noexcept;

/** What the answer to a forwarded call says about whether the call ran. */
enum class ForwardOutcome : std::uint8_t {
    FromTarget, ///< nothing: the answer is a target's
    NotRun, ///< it has not run there and never will
    MayHaveRun,
};

void writeForwardRefusal(ResponseHead &head, ForwardRefusal refusal);

/** None if the answer names no known reason. */
ForwardRefusal parseForwardRefusal(const ResponseHead &head);

void writeForwardedCall(RequestHead &head, const ForwardedCall &call);

/** Nullopt if the request has no such header, or one that cannot be parsed. */
std::optional<ForwardedCall> readForwardedCall(const RequestHead &head);

void eraseForwardedCall(RequestHead &head);

/** What a VM reports about a forwarded call in the head of its answer. */
struct ForwardReport
{
    ForwardOutcome outcome = ForwardOutcome::FromTarget;
    int runs = 0; ///< that may have begun, including those before it was forwarded
    BodyDelimiter delimiter = BodyDelimiter::SelfDelimited; ///< what delimited the target's answer
    std::string software; ///< version of the target's software

    auto operator<=>(const ForwardReport &) const = default;
};

/** Sets the report's headers and removes any that a target has set under their names. */
void writeForwardReport(ResponseHead &head, const ForwardReport &report);

ForwardReport readForwardReport(const ResponseHead &head);

} // namespace monsoonbay
