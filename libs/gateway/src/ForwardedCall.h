#pragma once

#include <optional>
#include <string>

#include "BodyDelimiter.h"
#include "access/KeyTable.h"
#include "core/Time.h"
#include "gateway/PlatformPort.h"

namespace monsoonbay {

/** What a VM tells another one of a call that it forwards; in a header of the request. */
struct ForwardedCall
{
    std::int64_t configVersion = 0; ///< by which the call is handled
    std::string service;
    std::string workspace; ///< empty: nobody's call
    std::optional<KeyDigest> key; ///< nothing: the route needs none
    std::int64_t units = 0; ///< of the workspace's limit; taken by the VM that forwards it
    std::string callerAddress;
    Duration waited{}; ///< since the call arrived at the VM that forwards it
    int runs = 0; ///< that may have begun before
    bool hasBody = false; ///< the caller sent one, if only an empty one
    std::optional<std::string> origin; ///< version of software that its stream has to go on at

    auto operator<=>(const ForwardedCall &) const = default;
};

/** Why a VM does not take a forwarded call. */
enum class ForwardRefusal : std::uint8_t {
    None, ///< it takes it
    Malformed, ///< the header cannot be read
    Stopping,
    LinksLost, ///< it does not reach the targets itself
    ConfigMismatch, ///< its configuration is another one
    Busy, ///< it has enough forwarded calls
};

std::string_view refusalName(ForwardRefusal refusal) noexcept;

/** What a VM's own answer to a forwarded call says of the call. */
enum class ForwardOutcome : std::uint8_t {
    FromTarget, ///< nothing: the answer is a target's
    NotRun, ///< it has not run there and never will
    MayHaveRun,
};

void writeForwardRefusal(ResponseHead &head, ForwardRefusal refusal);

/** None: the answer names no reason that is known. */
ForwardRefusal parseForwardRefusal(const ResponseHead &head);

void writeForwardedCall(RequestHead &head, const ForwardedCall &call);

/** Nothing: the request bears no such header, or one that cannot be read. */
std::optional<ForwardedCall> readForwardedCall(const RequestHead &head);

void eraseForwardedCall(RequestHead &head);

/** What a VM says of a forwarded call in the head of its answer. */
struct ForwardReport
{
    ForwardOutcome outcome = ForwardOutcome::FromTarget;
    int runs = 0; ///< that may have begun, those before it was forwarded among them
    BodyDelimiter end =
        BodyDelimiter::SelfDelimited; ///< what showed the end of the target's answer
    std::string software; ///< version of the target's

    auto operator<=>(const ForwardReport &) const = default;
};

/** Sets what the VM says; removes what a target may have set in its place. */
void writeForwardReport(ResponseHead &head, const ForwardReport &report);

ForwardReport readForwardReport(const ResponseHead &head);

} // namespace monsoonbay
