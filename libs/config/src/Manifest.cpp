#include "config/Manifest.h"

#include <algorithm>
#include <set>
#include <unordered_set>

#include "config/JsonReader.h"

namespace monsoonbay {

namespace {

constexpr std::string_view nameRemedy = "use letters, digits, '.', '_' and '-'";

bool matchesPattern(std::string_view pattern, std::string_view text) noexcept
{
    if (!pattern.empty() && pattern.back() == '*')
        return text.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == text;
}

bool matchesAny(const std::vector<std::string> &patterns, std::string_view text) noexcept
{
    return std::any_of(patterns.begin(), patterns.end(), [text](const std::string &pattern) {
        return matchesPattern(pattern, text);
    });
}

bool isName(std::string_view text) noexcept
{
    const auto allowed = [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= 200 && std::all_of(text.begin(), text.end(), allowed);
}

std::string readName(JsonReader &reader, const Json &object, const std::string &path,
                     const char *key)
{
    std::string name = reader.text(object, path, key);
    if (!name.empty() && !isName(name))
        reader.complain(path + "/" + key, "'" + name + "' is not a valid name",
                        std::string(nameRemedy));
    return name;
}

Service readService(JsonReader &reader, const Json &object, const std::string &path)
{
    reader.onlyKeys(object, path,
                    {"name", "tokenSha256", "adapters", "plainServices", "priority", "share"});
    Service service;
    service.name = readName(reader, object, path, "name");
    service.tokenSha256 = reader.text(object, path, "tokenSha256");
    if (service.tokenSha256.size() != 64)
        reader.complain(path + "/tokenSha256", "is not a SHA-256 in hex",
                        "give the 64 hex digits of the token's SHA-256, never the token");
    service.adapters = reader.texts(object, path, "adapters");
    service.plainServices = reader.texts(object, path, "plainServices");
    service.priority = static_cast<int>(reader.number(object, path, "priority", 5, 1, 9));
    service.share = reader.number(object, path, "share", 0.5, 0.01, 1);
    return service;
}

PlainService readPlainService(JsonReader &reader, const Json &object, const std::string &path)
{
    reader.onlyKeys(object, path, {"name", "path", "nonIdempotent"});
    PlainService plain;
    plain.name = readName(reader, object, path, "name");
    plain.path = reader.text(object, path, "path");
    if (!plain.path.starts_with('/') || plain.path.starts_with("/v1/"))
        reader.complain(path + "/path", "'" + plain.path + "' cannot be a plain service's path",
                        "start it with '/' and do not use /v1/");
    plain.nonIdempotent = reader.texts(object, path, "nonIdempotent");
    return plain;
}

TargetDeclaration readTarget(JsonReader &reader, const Json &object, const std::string &path)
{
    reader.onlyKeys(object, path,
                    {"name", "baseModel", "plainService", "slots", "maxBatch", "checksTokens"});
    TargetDeclaration target;
    target.name = readName(reader, object, path, "name");
    target.baseModel = reader.optionalText(object, path, "baseModel");
    target.plainService = reader.optionalText(object, path, "plainService");
    const bool isModel = !target.baseModel.empty();
    if (isModel != target.plainService.empty())
        reader.complain(path, "is neither a model engine nor a plain service's target",
                        "give exactly one of baseModel and plainService");
    target.slots = static_cast<int>(reader.number(object, path, "slots", 0, 0, 4096));
    target.maxBatch = static_cast<int>(reader.number(object, path, "maxBatch", 16, 1, 65536));
    target.checksTokens = reader.boolean(object, path, "checksTokens", false);
    if (isModel && target.slots == 0)
        reader.complain(path + "/slots", "a model engine without slots cannot serve adapters",
                        "give the number of its adapter slots");
    return target;
}

template <typename T>
void reportDuplicates(JsonReader &reader, const std::vector<T> &items, const std::string &path)
{
    std::set<std::string> seen;
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (seen.insert(items[index].name).second)
            continue;
        reader.complain(path + "/" + std::to_string(index) + "/name",
                        "'" + items[index].name + "' is defined twice", "remove one of the two");
    }
}

Weights readWeights(JsonReader &reader, const Json &object, const std::string &path)
{
    reader.onlyKeys(object, path, {"stall", "batch"});
    Weights weights;
    weights.stall = reader.number(object, path, "stall", weights.stall, 0, 1);
    weights.batch = reader.number(object, path, "batch", weights.batch, 0, 1);
    return weights;
}

// Overwrites the parts of `head` that are present in `root`. Used both for a whole manifest, with
// an empty head, and for the head patch of a delta.
void readHeadParts(JsonReader &reader, const Json &root, ManifestHead &head)
{
    if (root.contains("baseModels"))
        head.baseModels = reader.texts(root, "", "baseModels");
    if (root.contains("services")) {
        head.services = reader.items<Service>(root, "services", readService);
        reportDuplicates(reader, head.services, "/services");
    }
    if (root.contains("plainServices")) {
        head.plainServices = reader.items<PlainService>(root, "plainServices", readPlainService);
        reportDuplicates(reader, head.plainServices, "/plainServices");
    }
    if (root.contains("targets")) {
        head.targets = reader.items<TargetDeclaration>(root, "targets", readTarget);
        reportDuplicates(reader, head.targets, "/targets");
    }
    if (root.contains("weights") && reader.isObject(root["weights"], "/weights"))
        head.weights = readWeights(reader, root["weights"], "/weights");
    head.loadsPerSecond =
        reader.number(root, "", "loadsPerSecond", head.loadsPerSecond, 0.001, 100000);
    head.maxDroppedAdapterShare =
        reader.number(root, "", "maxDroppedAdapterShare", head.maxDroppedAdapterShare, 0, 1);
}

void checkHead(JsonReader &reader, const ManifestHead &head)
{
    const auto hasModel = [&head](const std::string &name) {
        return std::find(head.baseModels.begin(), head.baseModels.end(), name)
            != head.baseModels.end();
    };
    if (head.baseModels.empty())
        reader.complain("/baseModels", "is empty", "name at least one base model");
    for (std::size_t index = 0; index < head.targets.size(); ++index) {
        const TargetDeclaration &target = head.targets[index];
        if (target.baseModel.empty() || hasModel(target.baseModel))
            continue;
        reader.complain("/targets/" + std::to_string(index) + "/baseModel",
                        "'" + target.baseModel + "' is not declared",
                        "add it to baseModels or correct the name");
    }
}

AdapterEntry readAdapter(JsonReader &reader, const Json &object, const std::string &path)
{
    reader.onlyKeys(object, path, {"name", "version", "baseModel"});
    AdapterEntry entry;
    entry.ref.name = readName(reader, object, path, "name");
    entry.ref.version = readName(reader, object, path, "version");
    entry.baseModel = reader.text(object, path, "baseModel");
    return entry;
}

// Two names with the same 64-bit id would route a request to the wrong adapter. That is too rare to
// be handled everywhere, so such a document is refused here.
void reportIdCollisions(JsonReader &reader, const std::vector<AdapterEntry> &entries,
                        const std::string &path)
{
    std::unordered_set<AdapterId> seen;
    seen.reserve(entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (seen.insert(entries[index].ref.id()).second)
            continue;
        reader.complain(path + "/" + std::to_string(index),
                        "'" + entries[index].ref.text()
                            + "' is defined twice, or has the same id as another adapter",
                        "remove one of the two, or rename it");
    }
}

void reportUnknownBaseModels(JsonReader &reader, const std::vector<AdapterEntry> &entries,
                             const std::string &path, const ManifestHead &head)
{
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const std::string &model = entries[index].baseModel;
        const bool declared = std::find(head.baseModels.begin(), head.baseModels.end(), model)
            != head.baseModels.end();
        if (declared)
            continue;
        reader.complain(path + "/" + std::to_string(index) + "/baseModel",
                        "'" + model + "' is not declared",
                        "add it to baseModels or correct the name");
    }
}

Json writeService(const Service &service)
{
    return Json{{"name", service.name},         {"tokenSha256", service.tokenSha256},
                {"adapters", service.adapters}, {"plainServices", service.plainServices},
                {"priority", service.priority}, {"share", service.share}};
}

Json writeTarget(const TargetDeclaration &target)
{
    Json json{{"name", target.name},
              {"maxBatch", target.maxBatch},
              {"slots", target.slots},
              {"checksTokens", target.checksTokens}};
    if (target.baseModel.empty())
        json["plainService"] = target.plainService;
    else
        json["baseModel"] = target.baseModel;
    return json;
}

Json writeHead(const ManifestHead &head)
{
    Json services = Json::array();
    for (const Service &service : head.services)
        services.push_back(writeService(service));
    Json plains = Json::array();
    for (const PlainService &plain : head.plainServices)
        plains.push_back(Json{
            {"name", plain.name}, {"path", plain.path}, {"nonIdempotent", plain.nonIdempotent}});
    Json targets = Json::array();
    for (const TargetDeclaration &target : head.targets)
        targets.push_back(writeTarget(target));
    return Json{{"format", 1},
                {"baseModels", head.baseModels},
                {"services", services},
                {"plainServices", plains},
                {"targets", targets},
                {"weights", {{"stall", head.weights.stall}, {"batch", head.weights.batch}}},
                {"loadsPerSecond", head.loadsPerSecond},
                {"maxDroppedAdapterShare", head.maxDroppedAdapterShare}};
}

} // namespace

bool Service::mayCallAdapter(std::string_view adapterName) const noexcept
{
    return matchesAny(this->adapters, adapterName);
}

bool Service::mayCallPlain(std::string_view plainName) const noexcept
{
    return matchesAny(this->plainServices, plainName);
}

std::string Manifest::digest() const
{
    return SetDigest::of(writeHead(this->head).dump()).plus(this->adapters.digest()).hex();
}

Parsed<Manifest> parseManifest(std::string_view json)
{
    JsonReader reader;
    Parsed<Manifest> parsed;
    const Json root = reader.parseObject(json);
    if (reader.problems.empty()) {
        reader.onlyKeys(root, "",
                        {"format", "baseModels", "adapters", "services", "plainServices", "targets",
                         "weights", "loadsPerSecond", "maxDroppedAdapterShare"});
        if (reader.number(root, "", "format", 0, 0, 1000) != 1)
            reader.complain("/format", "is not 1", "write the manifest in format 1");
        readHeadParts(reader, root, parsed.value.head);
        checkHead(reader, parsed.value.head);
        const auto adapters = reader.items<AdapterEntry>(root, "adapters", readAdapter);
        reportIdCollisions(reader, adapters, "/adapters");
        reportUnknownBaseModels(reader, adapters, "/adapters", parsed.value.head);
        if (reader.problems.empty())
            parsed.value.adapters = AdapterTable::of(adapters);
    }
    parsed.problems = std::move(reader.problems);
    return parsed;
}

Parsed<ManifestDelta> parseDelta(std::string_view json)
{
    JsonReader reader;
    Parsed<ManifestDelta> parsed;
    const Json root = reader.parseObject(json);
    if (reader.problems.empty()) {
        reader.onlyKeys(root, "", {"putAdapters", "removeAdapters", "head"});
        parsed.value.put = reader.items<AdapterEntry>(root, "putAdapters", readAdapter);
        reportIdCollisions(reader, parsed.value.put, "/putAdapters");
        const std::vector<std::string> removed = reader.texts(root, "", "removeAdapters");
        for (std::size_t index = 0; index < removed.size(); ++index) {
            AdapterRef ref = parseAdapterRef(removed[index]);
            if (ref.name.empty())
                reader.complain("/removeAdapters/" + std::to_string(index),
                                "'" + removed[index] + "' is not name@version",
                                "write the adapter as name@version");
            parsed.value.remove.push_back(std::move(ref));
        }
        if (root.contains("head") && reader.isObject(root["head"], "/head"))
            parsed.value.headPatch = root["head"].dump();
    }
    parsed.problems = std::move(reader.problems);
    return parsed;
}

Parsed<Manifest> applyDelta(const Manifest &manifest, const ManifestDelta &delta)
{
    JsonReader reader;
    Parsed<Manifest> parsed{manifest, {}};
    Manifest &changed = parsed.value;
    if (!delta.headPatch.empty()) {
        const Json patch = reader.parseObject(delta.headPatch);
        reader.onlyKeys(patch, "/head",
                        {"baseModels", "services", "plainServices", "targets", "weights",
                         "loadsPerSecond", "maxDroppedAdapterShare"});
        readHeadParts(reader, patch, changed.head);
        checkHead(reader, changed.head);
        const bool removesModel =
            std::any_of(manifest.head.baseModels.begin(), manifest.head.baseModels.end(),
                        [&changed](const std::string &model) {
                            return std::find(changed.head.baseModels.begin(),
                                             changed.head.baseModels.end(), model)
                                == changed.head.baseModels.end();
                        });
        if (removesModel)
            reader.complain("/head/baseModels", "drops a base model",
                            "publish a whole manifest to drop a base model");
    }
    reportUnknownBaseModels(reader, delta.put, "/putAdapters", changed.head);
    for (std::size_t index = 0; index < delta.remove.size(); ++index) {
        const AdapterId id = delta.remove[index].id();
        if (changed.adapters.find(id) == nullptr) {
            reader.complain("/removeAdapters/" + std::to_string(index),
                            "'" + delta.remove[index].text() + "' is not in the manifest",
                            "remove it from the delta");
            continue;
        }
        changed.adapters = changed.adapters.without(id);
    }
    for (const AdapterEntry &entry : delta.put) {
        const AdapterEntry *existing = changed.adapters.find(entry.ref.id());
        if (existing != nullptr && existing->ref != entry.ref)
            reader.complain("/putAdapters",
                            "'" + entry.ref.text() + "' has the same id as '" + existing->ref.text()
                                + "'",
                            "rename it");
        changed.adapters = changed.adapters.with(entry);
    }
    parsed.problems = std::move(reader.problems);
    return parsed;
}

std::string writeManifest(const Manifest &manifest)
{
    Json root = writeHead(manifest.head);
    Json adapters = Json::array();
    for (const AdapterEntry &entry : manifest.adapters.sorted())
        adapters.push_back(Json{{"name", entry.ref.name},
                                {"version", entry.ref.version},
                                {"baseModel", entry.baseModel}});
    root["adapters"] = std::move(adapters);
    return root.dump();
}

} // namespace monsoonbay
