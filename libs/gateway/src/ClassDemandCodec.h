#pragma once

#include "Gateway.pb.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Demand by call class in state updates: fields 4 to 6 of the message WorkspaceUse. */

/** Larger numbers are rejected as corrupt; sums of many numbers up to this stay exact. */
constexpr std::uint64_t maxReportedNumber = 1'000'000'000'000'000;

void encodeClassDemand(const WorkspaceUse &usage, gateway::v1::WorkspaceUse &message);

/**
 * Sets the demand by class of `usage`. Invalid demand leaves it empty and returns false: all that
 * `message` requests then counts towards the last class. An older version sends none, which is
 * valid.
 */
bool decodeClassDemand(const gateway::v1::WorkspaceUse &message, WorkspaceUse &usage);

} // namespace monsoonbay
