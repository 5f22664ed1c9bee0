/** @file routing_view.cpp Builds the routing table and selects this daemon's subsets. */

#include "routing/routing_view_type.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
/** Fraction of a subset reserved for the own data centre; the rest allows spill-over to other data centres. */
constexpr double localFraction = 0.75;

/** Rendezvous hashing weight of an upstream for this daemon (Thaler and Ravishankar, 1998). */
std::uint64_t rendezvousWeight(const router_settings &settings, const upstream &info)
{
    return hashBytes(info.host, hashBytes(settings.host, hashBytes(info.service)));
}

/** Keeps the `count` indices of greatest weight in `chosen` and moves the remaining ones to `service.outside`. */
void keepHighestWeights(service_view &service, std::vector<std::uint32_t> &chosen, std::size_t count, const router_settings &settings)
{
    if (chosen.size() <= count) {
        return;
    }
    std::ranges::sort(chosen, std::greater<>{}, [&](std::uint32_t index) {
        return rendezvousWeight(settings, service.all[index].info);
    });
    service.outside.insert(service.outside.end(), chosen.begin() + static_cast<std::ptrdiff_t>(count), chosen.end());
    chosen.resize(count);
}

void selectSubsets(service_view &service, const router_settings &settings)
{
    for (std::uint32_t index = 0; index < service.all.size(); ++index) {
        const upstream &info = service.all[index].info;
        if (!info.draining) {
            (info.dataCenter == settings.dataCenter ? service.local : service.remote).push_back(index);
        }
    }
    const std::size_t size = std::max<std::size_t>(settings.subsetSize, 1);
    const std::size_t localSize = service.remote.empty() ? size : std::max<std::size_t>(1, static_cast<std::size_t>(localFraction * static_cast<double>(size)));
    keepHighestWeights(service, service.local, localSize, settings);
    keepHighestWeights(service, service.remote, size - std::min(size, service.local.size()), settings);
}

std::shared_ptr<upstream_counters> countersFor(const upstream &info, const routing_view &previous)
{
    const routed_upstream *known = previous.findUpstream(info.service, info.host);
    if (known == nullptr) {
        return std::make_shared<upstream_counters>();
    }
    if (known->info.incarnation != info.incarnation) {
        known->counters->health.reset();
        known->counters->load.clearReport();
    }
    return known->counters;
}

bool byHost(const routed_upstream &left, const routed_upstream &right)
{
    return left.info.host < right.info.host;
}

bool hasSameHost(const routed_upstream &left, const routed_upstream &right)
{
    return left.info.host == right.info.host;
}
} // namespace

const service_view *routing_view::findService(std::string_view service) const
{
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

const routed_upstream *routing_view::findUpstream(std::string_view service, std::string_view host) const
{
    const service_view *known = findService(service);
    if (known == nullptr) {
        return nullptr;
    }
    const auto found = std::ranges::lower_bound(known->all, host, std::less<>{}, [](const routed_upstream &candidate) {
        return std::string_view(candidate.info.host);
    });
    return found != known->all.end() && found->info.host == host ? &*found : nullptr;
}

std::shared_ptr<const routing_view> makeRoutingView(std::span<const upstream> upstreams, const routing_view &previous, const router_settings &settings)
{
    auto view = std::make_shared<routing_view>();
    for (const upstream &info : upstreams) {
        view->services[info.service].all.push_back({info, countersFor(info, previous)});
    }
    for (auto &[name, service] : view->services) {
        std::ranges::stable_sort(service.all, byHost);
        service.all.erase(std::unique(service.all.begin(), service.all.end(), hasSameHost), service.all.end());
        selectSubsets(service, settings);
    }
    return view;
}

} // namespace cicadamux::detail
