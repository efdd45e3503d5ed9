#pragma once

#include <cstdint>
#include <optional>

namespace monsoonbay {

/**
 * Era of the platform's store that an answer of it names. It rises each time the store comes back
 * from an older copy, which loses what was written since: what is known from an earlier era need
 * not be true any more. Empty: there was no answer. 0: the answer names no era, as a store may
 * until it comes back from a copy for the first time.
 */
using StoreEra = std::optional<std::int64_t>;

/** Eras up to this fit into the number of a generation. */
constexpr std::int64_t maxStoreEra = (std::int64_t{1} << 21) - 1;

} // namespace monsoonbay
