#include "PrefixCodec.h"

#include <algorithm>

#include "serving/PrefixIndex.h"

namespace monsoonbay {

namespace v1 = gateway::v1;

v1::PrefixNews encodePrefixUpdates(const PrefixUpdates &update)
{
    v1::PrefixNews message;
    message.set_seen(update.seen);
    message.set_change(update.change);
    v1::EnginePrefixes *engine = nullptr;
    for (const PrefixRead &read : update.reads) {
        if (engine == nullptr || engine->engine() != read.engine) {
            engine = message.add_engines();
            engine->set_engine(read.engine);
        }
        engine->add_prefixes(read.prefix.hash);
        engine->add_tokens(static_cast<std::uint32_t>(read.prefix.tokens));
    }
    return message;
}

PrefixUpdates decodePrefixUpdates(const v1::PrefixNews &message)
{
    PrefixUpdates update;
    update.seen = message.seen();
    update.change = message.change();
    for (const v1::EnginePrefixes &engine : message.engines()) {
        // Ignores the surplus if one of the two lists is longer.
        const int reads = std::min(engine.prefixes_size(), engine.tokens_size());
        for (int index = 0; index < reads; ++index) {
            const std::uint32_t tokens = engine.tokens(index);
            if (tokens < minReportedTokens || tokens > maxReportedTokens)
                continue;
            if (update.reads.size() >= maxPrefixesPerMessage)
                return update;
            PrefixRead read;
            read.engine = engine.engine();
            read.prefix = {engine.prefixes(index), static_cast<int>(tokens)};
            update.reads.push_back(read);
        }
    }
    return update;
}

} // namespace monsoonbay
