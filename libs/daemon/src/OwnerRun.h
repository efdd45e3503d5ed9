#pragma once

#include "Node.h"

namespace monsoonbay {

/** Runs one request on a target that this VM owns and writes its events to the sink. */
asio::awaitable<void> runOnTarget(Node &node, v1::RunRequest request,
                                  std::shared_ptr<RunSink> sink);

} // namespace monsoonbay
