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

/** What callers may send, and how slowly. */
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits &) const = default;
};

/** A whole configuration as the operator wrote it. */
struct ServingConfig
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::vector<Workspace> workspaces; ///< none: calls need no key
    CallerLimits limits;

    auto operator<=>(const ServingConfig &) const = default;
};

/** Routes and services of one configuration, indexed for look-up; never changed once built. */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(ServingConfig config);

    const ServingConfig &config() const noexcept;

    /** The route of that host with the longest prefix that begins the path; null if none does. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** Null if there is no such service. */
    const ServiceSpec *findService(const std::string &name) const;

    /** Null if there is no such workspace. */
    const Workspace *findWorkspace(const std::string &name) const;

    /** Least objective for the first event among the routes to a service; zero: none names one. */
    Duration minObjective(const std::string &service) const;

    /**
     * Least objective for the first event among the routes to a service that name one; nothing if
     * they all name the same.
     */
    std::optional<Duration> shortestObjective(const std::string &service) const;

    /** Longest time that a caller waits for a stream of the service which it may take up again. */
    Duration maxResumableTimeout(const std::string &service) const;

private:
    /** Least and largest objective of the routes to a service. */
    struct Objectives
    {
        Duration least{};
        Duration most{};
    };

    ServingConfig whole;
    std::unordered_map<std::string, Objectives> objectivesByService;
    std::unordered_map<std::string, Duration> longestStreams; ///< by service
    std::unordered_map<std::string, std::size_t> routeByHostAndPrefix;
    std::unordered_map<std::string, std::size_t> serviceByName;
    std::unordered_map<std::string, std::size_t> workspaceByName;
};

/** True if `offered` may replace a configuration of version `current`: it never goes back. */
bool mayReplace(std::int64_t current, std::int64_t offered) noexcept;

/** Picks a service of a route by weight; `draw` is in [0, 1). Empty if the route has none. */
std::string_view pickService(const Route &route, double draw) noexcept;

} // namespace monsoonbay
