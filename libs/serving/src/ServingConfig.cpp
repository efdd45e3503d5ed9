#include "serving/ServingConfig.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

// Neither a host nor a path can contain a line break, so the two parts of the key cannot run
// together.
constexpr char keySeparator = '\n';

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key.append(host);
    key.push_back(keySeparator);
    key.append(prefix);
    return key;
}

} // namespace

RouteTable::RouteTable(ServingConfig config)
    : configuration(std::move(config))
{
    for (std::size_t index = 0; index < this->configuration.routes.size(); ++index) {
        const Route &route = this->configuration.routes[index];
        this->routeByHostAndPrefix[routeKey(route.host, route.pathPrefix)] = index;
        for (const ServiceShare &share : route.services) {
            Duration &longest = this->maxResumableTimeouts[share.service];
            if (route.resumable)
                longest = std::max(longest, route.timeout);
        }
        if (route.latencyObjective <= Duration::zero())
            continue;
        for (const ServiceShare &share : route.services) {
            const Objectives first{route.latencyObjective, route.latencyObjective};
            Objectives &known =
                this->objectivesByService.try_emplace(share.service, first).first->second;
            known.smallest = std::min(known.smallest, route.latencyObjective);
            known.largest = std::max(known.largest, route.latencyObjective);
        }
    }
    for (std::size_t index = 0; index < this->configuration.services.size(); ++index)
        this->serviceByName[this->configuration.services[index].name] = index;
    for (std::size_t index = 0; index < this->configuration.workspaces.size(); ++index)
        this->workspaceByName[this->configuration.workspaces[index].name] = index;
}

const ServingConfig &RouteTable::config() const noexcept
{
    return this->configuration;
}

// Prefixes end with a slash, so only cuts after a slash have to be tried, longest first. The lookup
// costs one hash access per slash of the path, also with hundreds of routes.
const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    std::string key = routeKey(host, path.substr(0, path.find('?')));
    const std::size_t pathBegin = host.size() + 1;
    while (true) {
        const std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < pathBegin)
            return nullptr;
        key.resize(slash + 1);
        const auto found = this->routeByHostAndPrefix.find(key);
        if (found != this->routeByHostAndPrefix.end())
            return &this->configuration.routes[found->second];
        key.resize(slash);
    }
}

const ServiceSpec *RouteTable::findService(const std::string &name) const
{
    const auto found = this->serviceByName.find(name);
    return found == this->serviceByName.end() ? nullptr
                                              : &this->configuration.services[found->second];
}

const Workspace *RouteTable::findWorkspace(const std::string &name) const
{
    const auto found = this->workspaceByName.find(name);
    return found == this->workspaceByName.end() ? nullptr
                                                : &this->configuration.workspaces[found->second];
}

Duration RouteTable::minObjective(const std::string &service) const
{
    const auto found = this->objectivesByService.find(service);
    return found == this->objectivesByService.end() ? Duration::zero() : found->second.smallest;
}

std::optional<Duration> RouteTable::shortestObjective(const std::string &service) const
{
    const auto found = this->objectivesByService.find(service);
    if (found == this->objectivesByService.end() || found->second.smallest == found->second.largest)
        return std::nullopt;
    return found->second.smallest;
}

Duration RouteTable::maxResumableTimeout(const std::string &service) const
{
    const auto found = this->maxResumableTimeouts.find(service);
    return found == this->maxResumableTimeouts.end() ? Duration::zero() : found->second;
}

bool mayReplace(std::int64_t current, std::int64_t offered) noexcept
{
    return offered > current;
}

std::string_view pickService(const Route &route, double draw) noexcept
{
    double total = 0;
    for (const ServiceShare &share : route.services)
        total += share.weight;
    double left = draw * total;
    std::string_view last;
    for (const ServiceShare &share : route.services) {
        if (share.weight <= 0)
            continue;
        last = share.service;
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return last;
}

} // namespace monsoonbay
