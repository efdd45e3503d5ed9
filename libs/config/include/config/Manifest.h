#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/AdapterTable.h"
#include "config/Problem.h"

namespace monsoonbay {

/** A calling service, identified by the SHA-256 of its token, and what it may call. */
struct Service
{
    std::string name;
    std::string tokenSha256;
    std::vector<std::string> adapters; ///< names, or prefixes that end in '*'
    std::vector<std::string> plainServices;
    int priority = 5; ///< 1 (first) to 9 (last)
    double share = 0.5; ///< of an entry VM's queue capacity while other services wait

    auto operator<=>(const Service &) const = default;

    bool mayCallAdapter(std::string_view adapterName) const noexcept;
    bool mayCallPlain(std::string_view plainName) const noexcept;
};

/** A service that is not a model engine, and those of its calls that must not be retried. */
struct PlainService
{
    std::string name;
    std::string path;
    std::vector<std::string> nonIdempotent; ///< "METHOD /path", or a prefix that ends in '*'

    auto operator<=>(const PlainService &) const = default;
};

/** Properties of a target, apart from its address. */
struct TargetDeclaration
{
    std::string name;
    std::string baseModel; ///< set for a model engine only
    std::string plainService; ///< set for an app runner only
    int slots = 0;
    int maxBatch = 0;
    bool checksTokens = false;

    auto operator<=>(const TargetDeclaration &) const = default;
};

/** Weights of the two cost measures in placement and routing; 0 to 1 each. */
struct Weights
{
    double stall = 0.5;
    double batch = 0.5;

    auto operator<=>(const Weights &) const = default;
};

/** All of a manifest except the adapters; small, and copied as a whole on each change. */
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

/** A configuration of the system; an immutable value once it is accepted. */
struct Manifest
{
    ManifestHead head;
    AdapterTable adapters;

    /** Canonical digest in hex, which does not depend on how the contents were formatted. */
    std::string digest() const;
};

/** A change to a manifest: single adapters, and parts of the head that are replaced. */
struct ManifestDelta
{
    std::vector<AdapterEntry> put;
    std::vector<AdapterRef> remove;
    std::string headPatch; ///< JSON object with the replaced parts of the head, or empty
};

/** The result of parsing a document: a value, or all its problems. */
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

/** Applies a delta; the problems name what does not match the manifest. */
Parsed<Manifest> applyDelta(const Manifest &manifest, const ManifestDelta &delta);

} // namespace monsoonbay
