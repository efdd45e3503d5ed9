#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "access/Workspace.h"
#include "core/Time.h"
#include "serving/Route.h"
#include "serving/ServiceSpec.h"

namespace monsoonbay {

/** Limits on callers' requests. */
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/** A complete configuration as written by the operator. */
struct ServingConfig
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<Workspace> workspaces; ///< empty: calls need no API key
    CallerLimits limits;

    auto operator<=>(const ServingConfig &) const = default;
};

/** Routes and services of one configuration, indexed for lookup. Immutable. */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(ServingConfig config);

    const ServingConfig &config() const noexcept;

    /** The route of the host with the longest matching path prefix; null if there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** Null if there is no such service. */
    const ServiceSpec *findService(const std::string &name) const;

    /** Null if there is no such workspace. */
    const Workspace *findWorkspace(const std::string &name) const;

    /**
     * Shortest objective for the first event among the routes to a service; zero: none sets one.
     */
    Duration minObjective(const std::string &service) const;

    /**
     * Shortest objective for the first event among the routes to a service that set one; nothing if
     * all of them set the same.
     */
    std::optional<Duration> shortestObjective(const std::string &service) const;

    /** Longest timeout among the resumable routes to a service. */
    Duration maxResumableTimeout(const std::string &service) const;

private:
    /** Shortest and longest objective among the routes to a service. */
    struct Objectives
    {
        Duration smallest{};
        Duration largest{};
    };

    ServingConfig configuration;
    std::unordered_map<std::string, Objectives> objectivesByService;
    std::unordered_map<std::string, Duration> maxResumableTimeouts; ///< by service
    std::unordered_map<std::string, std::size_t> routeByHostAndPrefix;
    std::unordered_map<std::string, std::size_t> serviceByName;
    std::unordered_map<std::string, std::size_t> workspaceByName;
};

/** True if `offered` is newer than `current`; versions never go back. */
bool mayReplace(std::int64_t current, std::int64_t offered) noexcept;

/** Picks a service of a route by weight; `draw` is in [0, 1). Empty if the route has none. */
std::string_view pickService(const Route &route, double draw) noexcept;

} // namespace monsoonbay
