#include "config/Acceptance.h"

#include <algorithm>
#include <array>
#include <set>

#include "config/JsonReader.h"
#include "core/Ids.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

constexpr std::string_view dropsAdapters = "drops-adapters";
constexpr std::string_view dropsServices = "drops-services";

struct Publication
{
    std::string kind;
    ManifestMark base;
    std::vector<std::string> acknowledge;
    std::string content;

    bool acknowledges(std::string_view what) const
    {
        return std::find(this->acknowledge.begin(), this->acknowledge.end(), what)
            != this->acknowledge.end();
    }
};

Publication readPublication(JsonReader &reader, const Json &root)
{
    Publication publication;
    reader.onlyKeys(root, "", {"kind", "base", "acknowledge", "content"});
    publication.kind = reader.text(root, "", "kind");
    if (publication.kind != "manifest" && publication.kind != "delta")
        reader.complain("/kind", "'" + publication.kind + "' is not a kind of publication",
                        "write manifest or delta");
    if (root.contains("base") && reader.isObject(root["base"], "/base")) {
        const Json &base = root["base"];
        reader.onlyKeys(base, "/base", {"offset", "digest"});
        publication.base.offset =
            static_cast<std::uint64_t>(reader.number(base, "/base", "offset", 0, 0, 1e15));
        publication.base.digest = reader.optionalText(base, "/base", "digest");
    }
    publication.acknowledge = reader.texts(root, "", "acknowledge");
    for (std::size_t index = 0; index < publication.acknowledge.size(); ++index) {
        const std::string &what = publication.acknowledge[index];
        if (what != dropsAdapters && what != dropsServices)
            reader.complain("/acknowledge/" + std::to_string(index),
                            "'" + what + "' is not a known acknowledgement",
                            "acknowledge drops-adapters or drops-services");
    }
    if (root.contains("content") && reader.isObject(root["content"], "/content"))
        publication.content = root["content"].dump();
    else
        reader.complain("/content", "is missing", "add the manifest or the delta");
    return publication;
}

// Counts names, not versions: replacing a version by another of the same name drops nothing.
std::size_t droppedAdapters(const AdapterTable &before, const AdapterTable &after)
{
    std::set<std::string> kept;
    for (const AdapterEntry &entry : after.sorted())
        kept.insert(entry.ref.name);
    std::size_t dropped = 0;
    for (const AdapterEntry &entry : before.sorted())
        dropped += kept.contains(entry.ref.name) ? 0 : 1;
    return dropped;
}

void reportDangerousChanges(const Manifest &before, const Manifest &after, std::size_t dropped,
                            const Publication &publication, std::vector<Problem> &problems)
{
    const auto sizeBefore = static_cast<double>(before.adapters.size());
    const bool tooMany =
        static_cast<double>(dropped) > before.head.maxDroppedAdapterShare * sizeBefore;
    if (tooMany && !publication.acknowledges(dropsAdapters))
        problems.push_back({"/content/adapters",
                            "drops " + std::to_string(dropped) + " of "
                                + std::to_string(before.adapters.size()) + " adapters",
                            "put them back, or acknowledge drops-adapters"});
    for (const Service &service : before.head.services) {
        const bool kept =
            std::any_of(after.head.services.begin(), after.head.services.end(),
                        [&service](const Service &other) { return other.name == service.name; });
        if (kept || publication.acknowledges(dropsServices))
            continue;
        problems.push_back({"/content/services", "drops the service '" + service.name + "'",
                            "put it back, or acknowledge drops-services"});
    }
}

void evaluatePublication(AcceptedManifest &state, const ManifestRecord &record,
                         const Publication &publication, JudgedRecord &judged)
{
    const std::uint64_t bodyHash = stableHash(record.body);
    if (publication.base != state.mark) {
        // The pipeline retries an append whose answer was lost. The same body right after it was
        // accepted is therefore a duplicate, not a conflict between two operators.
        const bool isRepeat = bodyHash == state.lastBodyHash;
        judged.verdict = isRepeat ? RecordVerdict::Duplicate : RecordVerdict::Conflict;
        if (!isRepeat)
            judged.problems.push_back(
                {"/base",
                 "was made from offset " + std::to_string(publication.base.offset)
                     + ", in force is offset " + std::to_string(state.mark.offset),
                 "recreate it from the manifest in force"});
        return;
    }
    Parsed<Manifest> next;
    std::size_t dropped = 0;
    if (publication.kind == "manifest") {
        next = parseManifest(publication.content);
        if (next.ok())
            dropped = droppedAdapters(state.manifest.adapters, next.value.adapters);
    } else if (state.mark.offset == 0) {
        next.problems.push_back({"/kind",
                                 "is a delta, but nothing is in force that it could change",
                                 "publish a whole manifest first"});
    } else {
        const Parsed<ManifestDelta> delta = parseDelta(publication.content);
        if (delta.ok())
            next = applyDelta(state.manifest, delta.value);
        else
            next.problems = delta.problems;
        dropped = delta.value.remove.size();
    }
    judged.problems = next.problems;
    judged.verdict = RecordVerdict::Invalid;
    if (!next.ok())
        return;
    reportDangerousChanges(state.manifest, next.value, dropped, publication, judged.problems);
    judged.verdict = RecordVerdict::Dangerous;
    if (!judged.problems.empty())
        return;
    state.manifest = std::move(next.value);
    state.mark = ManifestMark{record.offset, state.manifest.digest()};
    state.lastBodyHash = bodyHash;
    judged.verdict = RecordVerdict::Accepted;
}

} // namespace

std::string_view verdictName(RecordVerdict verdict) noexcept
{
    static constexpr std::array<std::string_view, 8> names{
        "accepted", "duplicate", "conflict", "invalid", "dangerous", "snapshot", "no-base", "old"};
    return names[static_cast<std::size_t>(verdict)];
}

JudgedRecord judge(AcceptedManifest &state, const ManifestRecord &record)
{
    JudgedRecord judged;
    judged.offset = record.offset;
    judged.mark = state.mark;
    if (record.offset <= state.readThrough)
        return judged;
    JsonReader reader;
    const Json root = reader.parseObject(record.body);
    const bool isSnapshot = reader.problems.empty() && root.value("kind", Json()) == "snapshot";
    if (isSnapshot) {
        judged.verdict = RecordVerdict::Snapshot;
        // Records between the snapshot's state and the snapshot's own offset still have to be
        // evaluated, so a VM that adopts it continues reading from that state, not from this
        // offset.
        const bool adopted = !state.based && adoptSnapshot(state, record.body);
        if (!adopted && state.based)
            state.readThrough = record.offset;
        judged.mark = state.mark;
        return judged;
    }
    if (!state.based) {
        judged.verdict = RecordVerdict::NoBase;
        return judged;
    }
    Publication publication;
    if (reader.problems.empty())
        publication = readPublication(reader, root);
    judged.problems = reader.problems;
    judged.verdict = RecordVerdict::Invalid;
    if (judged.problems.empty())
        evaluatePublication(state, record, publication, judged);
    state.readThrough = record.offset;
    judged.mark = state.mark;
    return judged;
}

void recordLogStart(AcceptedManifest &state, std::uint64_t first)
{
    if (first <= 1 && state.readThrough == 0)
        state.based = true;
}

std::string writeSnapshot(const AcceptedManifest &state)
{
    Json root{{"kind", "snapshot"},
              {"offset", state.mark.offset},
              {"digest", state.mark.digest},
              {"readThrough", state.readThrough},
              {"lastBodyHash", state.lastBodyHash}};
    if (state.mark.offset != 0)
        root["content"] = Json::parse(writeManifest(state.manifest));
    return root.dump();
}

bool adoptSnapshot(AcceptedManifest &state, std::string_view body)
{
    const Json root = parseJson(body);
    const auto isNumber = [&root](const char *key) {
        return root.contains(key) && root[key].is_number_unsigned();
    };
    const bool readable = root.is_object() && isNumber("offset") && isNumber("readThrough")
        && isNumber("lastBodyHash") && root.contains("digest") && root["digest"].is_string();
    if (!readable)
        return false;
    const std::uint64_t offset = root["offset"];
    const std::uint64_t readThrough = root["readThrough"];
    const bool newer = !state.based || readThrough > state.readThrough;
    if (!newer || offset < state.mark.offset || readThrough < state.readThrough)
        return false;
    AcceptedManifest adopted;
    if (offset != 0) {
        Parsed<Manifest> parsed = parseManifest(root.value("content", Json::object()).dump());
        const std::string digest = root["digest"];
        // A truncated or corrupted snapshot must not become the state of a VM.
        if (!parsed.ok() || parsed.value.digest() != digest)
            return false;
        adopted.manifest = std::move(parsed.value);
        adopted.mark = ManifestMark{offset, digest};
    }
    adopted.readThrough = readThrough;
    adopted.lastBodyHash = root["lastBodyHash"];
    adopted.based = true;
    state = std::move(adopted);
    return true;
}

std::string writePublication(std::string_view kind, const ManifestMark &base,
                             const std::vector<std::string> &acknowledge, std::string_view content)
{
    const Json root{{"kind", kind},
                    {"base", {{"offset", base.offset}, {"digest", base.digest}}},
                    {"acknowledge", acknowledge},
                    {"content", parseJson(content)}};
    return root.dump();
}

} // namespace monsoonbay
