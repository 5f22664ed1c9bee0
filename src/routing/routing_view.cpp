/** @file routing_view.cpp Builds the table of upstreams and this daemon's subsets of it. */

#include "routing/routing_view_type.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
/** Part of a subset that the own data centre fills if it can; the rest is for spill-over. */
constexpr double nearPart = 0.75;

/** Weight of an upstream for this caller (rendezvous hashing; Thaler and Ravishankar, 1998). */
std::uint64_t rendezvousWeight(const router_settings &settings, const upstream &subject)
{
    return hashBytes(subject.host, hashBytes(settings.host, hashBytes(subject.service)));
}

/** Moves the indices of least weight beyond `count` from `chosen` to `others`. */
void keepHeaviest(service_view &service, std::vector<std::uint32_t> &chosen, std::size_t count, const router_settings &settings)
{
    if (chosen.size() <= count) {
        return;
    }
    std::ranges::sort(chosen, std::greater<>{}, [&](std::uint32_t index) {
        return rendezvousWeight(settings, service.all[index].subject);
    });
    service.others.insert(service.others.end(), chosen.begin() + static_cast<std::ptrdiff_t>(count), chosen.end());
    chosen.resize(count);
}

void pickSubsets(service_view &service, const router_settings &settings)
{
    for (std::uint32_t index = 0; index < service.all.size(); ++index) {
        const upstream &subject = service.all[index].subject;
        if (!subject.draining) {
            (subject.dataCenter == settings.dataCenter ? service.near : service.far).push_back(index);
        }
    }
    const std::size_t size = std::max<std::size_t>(settings.subsetSize, 1);
    const std::size_t forNear = service.far.empty() ? size : std::max<std::size_t>(1, static_cast<std::size_t>(nearPart * static_cast<double>(size)));
    keepHeaviest(service, service.near, forNear, settings);
    keepHeaviest(service, service.far, size - std::min(size, service.near.size()), settings);
}

std::shared_ptr<upstream_counters> countersFor(const upstream &subject, const routing_view &previous)
{
    const routed_upstream *known = previous.findUpstream(subject.service, subject.host);
    if (known == nullptr) {
        return std::make_shared<upstream_counters>();
    }
    if (known->subject.incarnation != subject.incarnation) {
        known->counters->health.reset();
        known->counters->load.forgetReport();
    }
    return known->counters;
}

bool byHost(const routed_upstream &left, const routed_upstream &right)
{
    return left.subject.host < right.subject.host;
}

bool hasSameHost(const routed_upstream &left, const routed_upstream &right)
{
    return left.subject.host == right.subject.host;
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
        return std::string_view(candidate.subject.host);
    });
    return found != known->all.end() && found->subject.host == host ? &*found : nullptr;
}

std::shared_ptr<const routing_view> makeView(std::span<const upstream> upstreams, const routing_view &previous, const router_settings &settings)
{
    auto view = std::make_shared<routing_view>();
    for (const upstream &subject : upstreams) {
        view->services[subject.service].all.push_back({subject, countersFor(subject, previous)});
    }
    for (auto &[name, service] : view->services) {
        std::ranges::stable_sort(service.all, byHost);
        service.all.erase(std::unique(service.all.begin(), service.all.end(), hasSameHost), service.all.end());
        pickSubsets(service, settings);
    }
    return view;
}

} // namespace cicadamux::detail
