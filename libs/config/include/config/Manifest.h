#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/AdapterTable.h"
#include "config/Problem.h"

namespace monsoonbay {

/** A service that may call adapters, with its token's SHA-256. */
struct Service
{
    std::string name;
    std::string tokenSha256;
    std::vector<std::string> adapters; ///< names, or prefixes ending in '*'
    std::vector<std::string> plainServices;
    int priority = 5; ///< 1 (first) to 9 (last)
    double share = 0.5; ///< of an entry VM's queue places while others wait

    auto operator<=>(const Service &) const = default;

    bool mayCallAdapter(std::string_view adapterName) const noexcept;
    bool mayCallPlain(std::string_view plainName) const noexcept;
};

/** A plain service beside the engines and those of its calls that must not be repeated. */
struct PlainService
{
    std::string name;
    std::string path;
    std::vector<std::string> nonIdempotent; ///< "METHOD /path", or a prefix ending in '*'

    auto operator<=>(const PlainService &) const = default;
};

/** What the system has to know of a target beside its address. */
struct TargetDeclaration
{
    std::string name;
    std::string baseModel; ///< of a model engine
    std::string plainService; ///< of an app runner
    int slots = 0;
    int maxBatch = 0;
    bool checksTokens = false;

    auto operator<=>(const TargetDeclaration &) const = default;
};

/** How much the two measures count in placement and routing; 0 to 1 each. */
struct Weights
{
    double stall = 0.5;
    double batch = 0.5;

    auto operator<=>(const Weights &) const = default;
};

/** Everything but the adapters; small, copied whole on a change. */
struct ManifestHead
{
    std::vector<std::string> baseModels;
    std::vector<Service> services;
    std::vector<PlainService> plainServices;
    std::vector<TargetDeclaration> targets;
    Weights weights;
    double loadsPerSecond = 1.0;
    double maxDroppedAdapterShare = 0.2;

    auto operator<=>(const ManifestHead &) const = default;
};

/** One accepted configuration: an immutable value. */
struct Manifest
{
    ManifestHead head;
    AdapterTable adapters;

    /** Canonical digest in hex; equal for equal contents however they were written. */
    std::string digest() const;
};

/** A change to a manifest: adapters by entry, the head by replacement of its given parts. */
struct ManifestDelta
{
    std::vector<AdapterEntry> put;
    std::vector<AdapterRef> remove;
    std::string headPatch; ///< JSON object with the replaced parts of the head, or empty
};

/** Result of reading a document: a value, or every problem at once. */
template <typename T> struct Parsed
{
    T value;
    std::vector<Problem> problems;

    bool ok() const noexcept
    {
        return this->problems.empty();
    }
};

Parsed<Manifest> parseManifest(std::string_view json);
Parsed<ManifestDelta> parseDelta(std::string_view json);
std::string writeManifest(const Manifest &manifest);

/** Applies a delta; problems name what does not fit the manifest it is applied to. */
Parsed<Manifest> applyDelta(const Manifest &manifest, const ManifestDelta &delta);

} // namespace monsoonbay
