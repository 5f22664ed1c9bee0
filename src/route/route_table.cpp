/** @file route_table.cpp Matches requests to routes and selects the service of a split route. */

#include "route/route_table_base.h"

#include "core/random_func.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
std::string toLower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return result;
}

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    return isPort ? host.substr(0, colon) : host;
}
} // namespace

bool route_table::replace(std::shared_ptr<const route_configuration> configuration)
{
    if (configuration->version <= version()) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_byHost.clear();
    m_roundRobin.clear();
    for (const route_rule &route : m_configuration->routes) {
        m_byHost[toLower(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::ranges::stable_sort(routes, [](const route_rule *left, const route_rule *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    return true;
}

std::shared_ptr<const route_configuration> route_table::current() const
{
    return m_configuration;
}

std::uint64_t route_table::version() const
{
    return m_configuration ? m_configuration->version : 0;
}

const route_rule *route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(toLower(withoutPort(host)));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (const route_rule *route : found->second) {
        if (path.starts_with(route->prefix)) {
            return route;
        }
    }
    return nullptr;
}

const std::string &route_table::selectService(const route_rule &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    round_robin_counters &counters = m_roundRobin[&route];
    std::int64_t totalWeight = 0;
    for (const weighted_service &entry : route.services) {
        totalWeight += entry.weight;
    }
    if (counters.empty()) {
        // Starts at random, so that hosts with few requests don't all begin with the same service.
        counters.resize(route.services.size());
        for (std::int64_t &counter : counters) {
            counter = static_cast<std::int64_t>(threadRandom() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, totalWeight)));
        }
    }
    std::size_t best = 0;
    for (std::size_t index = 0; index < counters.size(); ++index) {
        counters[index] += route.services[index].weight;
        if (counters[index] > counters[best]) {
            best = index;
        }
    }
    counters[best] -= totalWeight;
    return route.services[best].service;
}

} // namespace cicadamux
