#include "PrefixCodec.h"

#include <algorithm>

#include "serving/PrefixIndex.h"

namespace monsoonbay {

namespace v1 = gateway::v1;

v1::PrefixNews encodePrefixUpdates(const PrefixUpdates &news)
{
    v1::PrefixNews told;
    told.set_seen(news.seen);
    told.set_change(news.change);
    v1::EnginePrefixes *engine = nullptr;
    for (const PrefixRead &read : news.reads) {
        if (engine == nullptr || engine->engine() != read.engine) {
            engine = told.add_engines();
            engine->set_engine(read.engine);
        }
        engine->add_prefixes(read.prefix.hash);
        engine->add_tokens(static_cast<std::uint32_t>(read.prefix.tokens));
    }
    return told;
}

PrefixUpdates decodePrefixUpdates(const v1::PrefixNews &told)
{
    PrefixUpdates news;
    news.seen = told.seen();
    news.change = told.change();
    for (const v1::EnginePrefixes &engine : told.engines()) {
        // What only one of the two lists has is left out.
        const int reads = std::min(engine.prefixes_size(), engine.tokens_size());
        for (int index = 0; index < reads; ++index) {
            const std::uint32_t tokens = engine.tokens(index);
            if (tokens < minReportedTokens || tokens > maxReportedTokens)
                continue;
            if (news.reads.size() >= maxPrefixesPerMessage)
                return news;
            PrefixRead read;
            read.engine = engine.engine();
            read.prefix = {engine.prefixes(index), static_cast<int>(tokens)};
            news.reads.push_back(read);
        }
    }
    return news;
}

} // namespace monsoonbay
