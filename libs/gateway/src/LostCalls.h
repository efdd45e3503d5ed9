#pragma once

#include <string>

#include "ActiveCall.h"

namespace monsoonbay {

/**
 * Finds out which calls were in flight at a target when it ended.
 *
 * A lost answer alone is weak evidence, as healthy targets lose answers, too. So after a loss the
 * target is probed. It has ended if nothing listens at its address any more, or if the list shows
 * soon afterwards that it has restarted or is gone. The list does not show when it ended: then only
 * calls count that were sent while the target still answered.
 */

/** Records that the answer to a call sent at `sentAt` broke off; the target may have ended. */
void recordLostCall(ActiveCall &call, const std::string &target, Instant sentAt);

/** Records that a part of an answer of the target has arrived. */
void recordSignOfLife(GatewayNode &node, const std::string &target);

/** Records that a target is gone from the list, or restarted at `nextStartTime`; 0: not known. */
void recordEndByList(GatewayNode &node, const std::string &target, std::int64_t nextStartTime);

} // namespace monsoonbay
