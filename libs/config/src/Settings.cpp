#include "config/Settings.h"

#include "config/JsonReader.h"
#include "config/Resources.h"

namespace monsoonbay {

namespace {

Endpoint readEndpoint(JsonReader &reader, const Json &root, const char *key, bool required)
{
    Endpoint endpoint;
    const std::string path = "/" + std::string(key);
    if (!root.contains(key)) {
        if (required)
            reader.complain(path, "is missing", "add {\"address\": …, \"port\": …}");
        return endpoint;
    }
    const Json &object = root[key];
    if (!reader.isObject(object, path))
        return endpoint;
    reader.onlyKeys(object, path, {"address", "port"});
    endpoint.address = reader.text(object, path, "address");
    endpoint.port = static_cast<std::uint16_t>(reader.number(object, path, "port", 0, 0, 65535));
    return endpoint;
}

int readInt(JsonReader &reader, const Json &root, const char *key, int fallback, int minimum,
            int maximum)
{
    return static_cast<int>(reader.number(root, "", key, fallback, minimum, maximum));
}

std::string readChoice(JsonReader &reader, const Json &root, const char *key,
                       const std::string &fallback, std::initializer_list<std::string_view> choices)
{
    if (!root.contains(key))
        return fallback;
    std::string value = reader.text(root, "", key);
    std::string listed;
    for (const std::string_view choice : choices) {
        if (choice == value)
            return value;
        listed += (listed.empty() ? "" : ", ") + std::string(choice);
    }
    reader.complain("/" + std::string(key), "'" + value + "' is not a valid value",
                    "choose one of: " + listed);
    return fallback;
}

} // namespace

Parsed<Settings> parseSettings(std::string_view json)
{
    JsonReader reader;
    Parsed<Settings> parsed;
    const Json root = reader.parseObject(json);
    if (reader.problems.empty()) {
        reader.onlyKeys(root, "",
                        {"vm", "zone", "callers", "peers", "operators", "log", "vmList", "traces",
                         "threads", "placement", "logFormat", "shutdownSeconds", "maxQueuedPerVm",
                         "defaultDeadlineMs", "leaseMs", "keyMemorySeconds", "resources"});
        Settings &settings = parsed.value;
        settings.vm = reader.text(root, "", "vm");
        settings.zone = reader.text(root, "", "zone");
        settings.callers = readEndpoint(reader, root, "callers", true);
        settings.peers = readEndpoint(reader, root, "peers", true);
        settings.operators = readEndpoint(reader, root, "operators", true);
        settings.log = readEndpoint(reader, root, "log", true);
        settings.vmList = readEndpoint(reader, root, "vmList", true);
        settings.traces = readEndpoint(reader, root, "traces", false);
        settings.threads = readInt(reader, root, "threads", settings.threads, 1, 64);
        settings.placement =
            readChoice(reader, root, "placement", settings.placement, {"forecast", "plain-good"});
        settings.logFormat =
            readChoice(reader, root, "logFormat", settings.logFormat, {"text", "json"});
        settings.shutdownSeconds =
            readInt(reader, root, "shutdownSeconds", settings.shutdownSeconds, 1, 3600);
        settings.maxQueuedPerVm =
            readInt(reader, root, "maxQueuedPerVm", settings.maxQueuedPerVm, 1, 1000000);
        settings.defaultDeadlineMs =
            readInt(reader, root, "defaultDeadlineMs", settings.defaultDeadlineMs, 1, 3600000);
        settings.keyMemorySeconds =
            readInt(reader, root, "keyMemorySeconds", settings.keyMemorySeconds, 1, 86400);
        readResources(reader, root, settings.resources);
        settings.leaseMs = readInt(reader, root, "leaseMs", settings.leaseMs, 100, 60000);
    }
    parsed.problems = std::move(reader.problems);
    return parsed;
}

} // namespace monsoonbay
