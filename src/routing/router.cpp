/** @file router.cpp Upstream selection: an RCU-protected routing table, atomic counters, and ejections serialized by a mutex. */

#include "routing/router_base.h"

#include "core/invariant_func.h"
#include "core/rcu_type.h"
#include "routing/routing_view_type.h"
#include "routing/upstream_choice_func.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace cicadamux
{

namespace
{
using detail::routed_upstream;
using detail::routing_view;
using detail::service_view;

/** @return The upstreams in this daemon's subset, of its own and of other data centres. */
std::vector<const routed_upstream *> subsetOf(const service_view &service)
{
    std::vector<const routed_upstream *> subset;
    for (const std::vector<std::uint32_t> *indices : {&service.local, &service.remote}) {
        for (const std::uint32_t index : *indices) {
            subset.push_back(&service.all[index]);
        }
    }
    return subset;
}

std::size_t countEjected(const std::vector<const routed_upstream *> &subset)
{
    return static_cast<std::size_t>(std::ranges::count_if(subset, [](const routed_upstream *each) {
        return each->counters->health.isEjected();
    }));
}

/** @return The greatest number of upstreams in a subset that may be ejected at once; always leaves at least one. */
std::size_t ejectionLimit(std::size_t subsetSize, double fraction)
{
    const auto limit = static_cast<std::size_t>(fraction * static_cast<double>(subsetSize));
    return subsetSize == 0 ? 0 : std::min(limit, subsetSize - 1);
}

std::int64_t ejectionEnd(const routed_upstream &routed)
{
    return routed.counters->health.ejectedUntil().count;
}

bool contains(const std::vector<const routed_upstream *> &subset, const routed_upstream &routed)
{
    return std::ranges::any_of(subset, [&](const routed_upstream *each) {
        return each->counters == routed.counters;
    });
}

/** Ends the ejections of upstreams that have left this daemon's subset, since the ejection limit doesn't cover them. */
void readmitOutsideSubset(const service_view &service, clock_ms now)
{
    const std::vector<const routed_upstream *> subset = subsetOf(service);
    for (const routed_upstream &each : service.all) {
        if (each.counters->health.isEjected() && !contains(subset, each)) {
            each.counters->health.readmit(now);
        }
    }
}

/** After a subset has shrunk, ends the ejections that expire soonest until the ejection limit holds again. */
void readmitOverLimit(const service_view &service, double fraction, clock_ms now)
{
    const std::vector<const routed_upstream *> subset = subsetOf(service);
    while (countEjected(subset) > ejectionLimit(subset.size(), fraction)) {
        const routed_upstream *soonest = nullptr;
        for (const routed_upstream *each : subset) {
            const bool isSooner = soonest == nullptr || ejectionEnd(*each) < ejectionEnd(*soonest);
            soonest = each->counters->health.isEjected() && isSooner ? each : soonest;
        }
        if (soonest == nullptr) {
            return; // A successful probe has ended the ejection meanwhile.
        }
        soonest->counters->health.readmit(now);
    }
}
} // namespace

struct router::state {
    router_settings settings;
    random_source random;
    rcu_snapshot<routing_view> view;
    std::mutex mutex; ///< Serializes table updates and ejections.

    /** Ejects an outlier if the ejection limit allows it. */
    void tryEject(std::string_view service, const routed_upstream &outlier, clock_ms now)
    {
        const std::lock_guard lock(mutex);
        const std::shared_ptr<const routing_view> current = view.load();
        const service_view *known = current->findService(service);
        if (known == nullptr) {
            return;
        }
        const std::vector<const routed_upstream *> subset = subsetOf(*known);
        if (contains(subset, outlier) && countEjected(subset) < ejectionLimit(subset.size(), settings.maxEjectedFraction)) {
            outlier.counters->health.eject(now);
        }
    }

    /** Extends an ejection after a failed probe, unless a table update has ended it. */
    void extendEjection(const routed_upstream &outlier, clock_ms now)
    {
        const std::lock_guard lock(mutex);
        if (outlier.counters->health.isProbing(now)) {
            outlier.counters->health.eject(now);
        }
    }

    /** Updates an upstream's health with the result of a call. */
    void recordResult(std::string_view service, const routed_upstream &routed, bool failed, clock_ms now)
    {
        detail::upstream_health &health = routed.counters->health;
        if (!health.isEjected()) {
            if (health.recordResult(failed)) {
                tryEject(service, routed, now);
            }
            return;
        }
        if (!health.isProbing(now)) {
            return;
        }
        if (failed) {
            extendEjection(routed, now);
        } else {
            health.readmit(now);
        }
    }
};

router::router(router_settings settings, random_source random)
    : m_state(std::make_unique<state>())
{
    m_state->settings = std::move(settings);
    m_state->random = std::move(random);
}

router::~router() = default;

void router::setUpstreams(std::span<const upstream> upstreams, clock_ms now)
{
    const std::lock_guard lock(m_state->mutex);
    const std::shared_ptr<const routing_view> previous = m_state->view.load();
    const std::shared_ptr<const routing_view> replacement = detail::makeRoutingView(upstreams, *previous, m_state->settings);
    for (const auto &[name, service] : replacement->services) {
        readmitOutsideSubset(service, now);
        readmitOverLimit(service, m_state->settings.maxEjectedFraction, now);
    }
    m_state->view.publish(replacement);
}

std::optional<upstream> router::choose(std::string_view service, std::span<const std::string> excluded, clock_ms now, const route_preference &preference)
{
    const std::shared_ptr<const routing_view> view = m_state->view.load();
    const service_view *known = view->findService(service);
    if (known == nullptr) {
        return std::nullopt;
    }
    const routed_upstream *chosen = detail::chooseUpstream(*known, {excluded, now, m_state->settings.slowStart, m_state->random, preference});
    if (chosen == nullptr) {
        return std::nullopt;
    }
    checkInvariant(!chosen->info.draining, invariant::draining_idle, "a draining upstream was chosen");
    return chosen->info;
}

std::optional<upstream> router::find(std::string_view service, std::string_view host) const
{
    const std::shared_ptr<const routing_view> view = m_state->view.load();
    const routed_upstream *known = view->findUpstream(service, host);
    return known == nullptr ? std::nullopt : std::optional(known->info);
}

void router::sent(std::string_view service, std::string_view host)
{
    const std::shared_ptr<const routing_view> view = m_state->view.load();
    if (const routed_upstream *known = view->findUpstream(service, host)) {
        known->counters->load.addCall();
    }
}

void router::ended(std::string_view service, std::string_view host, const upstream_report &report, clock_ms now)
{
    const std::shared_ptr<const routing_view> view = m_state->view.load();
    const routed_upstream *known = view->findUpstream(service, host);
    if (known == nullptr) {
        return;
    }
    known->counters->load.removeCall();
    if (report.gotReply) {
        known->counters->load.recordReport(report, now);
    }
    m_state->recordResult(service, *known, report.failed, now);
}

std::vector<upstream_state> router::states(clock_ms now) const
{
    const std::shared_ptr<const routing_view> view = m_state->view.load();
    std::vector<upstream_state> all;
    for (const auto &[name, service] : view->services) {
        for (const routed_upstream &each : service.all) {
            const double weight = detail::slowStartWeight(each.info, m_state->settings.slowStart, now);
            all.push_back({each.info, each.counters->load.inFlight(), each.counters->health.isEjected(), weight});
        }
    }
    return all;
}

} // namespace cicadamux
