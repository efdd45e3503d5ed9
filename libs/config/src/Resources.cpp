#include "config/Resources.h"

namespace monsoonbay {

namespace {

constexpr double bytesPerMb = 1024.0 * 1024;
constexpr double minMemoryMb = 32;
constexpr double maxMemoryMb = 1e7;
constexpr double minDescriptors = 256;
constexpr double maxDescriptors = 1e8;

} // namespace

void readResources(JsonReader &reader, const Json &root, VmResources &resources)
{
    if (!root.contains("resources"))
        return;
    const Json &object = root["resources"];
    const std::string path = "/resources";
    if (!reader.isObject(object, path))
        return;
    reader.onlyKeys(object, path, {"memoryMb", "descriptors"});
    const double memoryMb = static_cast<double>(resources.memoryBytes) / bytesPerMb;
    resources.memoryBytes = static_cast<std::size_t>(
        bytesPerMb * reader.number(object, path, "memoryMb", memoryMb, minMemoryMb, maxMemoryMb));
    const auto descriptors = static_cast<double>(resources.descriptors);
    resources.descriptors = static_cast<std::size_t>(
        reader.number(object, path, "descriptors", descriptors, minDescriptors, maxDescriptors));
}

} // namespace monsoonbay
