#pragma once

#include "config/JsonReader.h"
#include "connections/ConnectionLedger.h"

namespace monsoonbay {

/** Reads `resources`, an object with `memoryMb` and `descriptors`, if the document has one. */
void readResources(JsonReader &reader, const Json &root, VmResources &resources);

} // namespace monsoonbay
