#pragma once

#include <string>

#include "ActiveCall.h"

namespace monsoonbay {

/**
 * Which calls were under way at a target when it ended.
 *
 * A lost answer alone says little: answers get lost at targets that are well. So after a loss the
 * target is looked at: nobody listens at its address any more, or the list tells soon after that it
 * was started anew or is gone.
 */

/** The answer to a call broke off; the target may have ended. */
void recordLostCall(ActiveCall &run, const std::string &target);

/** The list tells that a target is gone, or was started anew at `nextStartTime`; 0: not said. */
void recordEndByList(GatewayNode &node, const std::string &target, std::int64_t nextStartTime);

} // namespace monsoonbay
