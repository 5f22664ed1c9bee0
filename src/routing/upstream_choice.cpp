/** @file upstream_choice.cpp Prefers the own data centre, then spills over; within each, the less loaded of two random choices (Mitzenmacher, 2001). */

#include "routing/upstream_choice_func.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr double slowStartFloor = 0.1; ///< Initial weight of an upstream in slow start.
constexpr std::size_t inlineCandidates = 32; ///< Candidates held without heap allocation.

constexpr double maxSpillLoad = 0.7; ///< Greatest load per slot at which a faster upstream in another data centre is chosen.

struct candidate {
    const routed_upstream *routed = nullptr;
    double load = 0.0; ///< Per slot.
    double expectedRun = 0.0; ///< Milliseconds; 0 if unknown.
};

using candidate_list = boost::container::small_vector<candidate, inlineCandidates>;

/** Which upstreams of a list are candidates. `ready` leaves out full ones, and in slow start admits an upstream only with a probability equal to its weight. */
enum class candidate_filter : std::uint8_t { ready, healthy, any };

bool isExcluded(const routed_upstream &routed, const choice_request &request)
{
    return std::ranges::find(request.excluded, routed.info.host) != request.excluded.end();
}

/** @return A random number in [0, 1). */
double randomFraction(const random_source &random)
{
    constexpr double range = 18446744073709551616.0; // 2^64, the number of values that the source yields.
    return static_cast<double>(random()) / range;
}

bool isReady(const routed_upstream &routed, const load_estimate &load, const choice_request &request)
{
    if (load.isFull) {
        return false;
    }
    const double weight = slowStartWeight(routed.info, request.slowStart, request.now);
    return weight >= 1.0 || randomFraction(request.random) < weight;
}

void collect(
    const service_view &service, const std::vector<std::uint32_t> &indices, candidate_filter filter, const choice_request &request, candidate_list &candidates)
{
    for (const std::uint32_t index : indices) {
        const routed_upstream &routed = service.all[index];
        if (isExcluded(routed, request) || (filter != candidate_filter::any && routed.counters->health.isEjected())) {
            continue;
        }
        const load_estimate load = routed.counters->load.estimate(routed.info.slots, request.now);
        if (filter != candidate_filter::ready || isReady(routed, load, request)) {
            const auto &expectedRun = request.preference.expectedRun;
            candidates.push_back({&routed, load.perSlot, expectedRun ? expectedRun(routed.info.host) : 0.0});
        }
    }
}

/** Removes a random candidate from the list. */
candidate takeRandom(candidate_list &candidates, const random_source &random)
{
    const std::size_t position = random() % candidates.size();
    const candidate drawn = candidates[position];
    candidates[position] = candidates.back();
    candidates.pop_back();
    return drawn;
}

/** @return Whether `left` is preferable: by load times expected run time if both run times are known, otherwise by load. */
bool isBetter(const candidate &left, const candidate &right)
{
    const bool isKnown = left.expectedRun > 0 && right.expectedRun > 0;
    return isKnown ? left.load * left.expectedRun < right.load * right.expectedRun : left.load < right.load;
}

candidate chooseOfTwo(candidate_list &candidates, const random_source &random)
{
    const candidate first = takeRandom(candidates, random);
    if (candidates.empty()) {
        return first;
    }
    const candidate second = takeRandom(candidates, random);
    return isBetter(second, first) ? second : first;
}

/** @return The best upstream in another data centre that saves at least `minRunTimeSaved` compared with `local`; otherwise `local`. */
candidate spillIfFaster(const service_view &service, const candidate &local, const choice_request &request)
{
    if (request.preference.minRunTimeSaved <= 0 || local.expectedRun <= 0) {
        return local;
    }
    candidate_list candidates;
    collect(service, service.remote, candidate_filter::ready, request, candidates);
    candidate best = local;
    for (const candidate &remote : candidates) {
        const bool isFaster
            = remote.expectedRun > 0 && local.expectedRun - remote.expectedRun >= request.preference.minRunTimeSaved && remote.load <= maxSpillLoad;
        if (isFaster && (best.routed == local.routed || isBetter(remote, best))) {
            best = remote;
        }
    }
    return best;
}

/** @return An ejected upstream that is due for a probe, or null. Only the first attempt of a call may be a probe. */
const routed_upstream *claimProbe(const service_view &service, const choice_request &request)
{
    if (!request.excluded.empty()) {
        return nullptr;
    }
    for (const std::vector<std::uint32_t> *indices : {&service.local, &service.remote}) {
        for (const std::uint32_t index : *indices) {
            if (service.all[index].counters->health.claimProbe(request.now)) {
                return &service.all[index];
            }
        }
    }
    return nullptr;
}
} // namespace

double slowStartWeight(const upstream &info, clock_ms slowStart, clock_ms now)
{
    const clock_ms age = now - info.servingSince;
    if (slowStart.count <= 0 || age >= slowStart) {
        return 1.0;
    }
    const double progress = std::max(0.0, static_cast<double>(age.count) / static_cast<double>(slowStart.count));
    return slowStartFloor + (1.0 - slowStartFloor) * progress;
}

const routed_upstream *chooseUpstream(const service_view &service, const choice_request &request)
{
    if (const routed_upstream *probe = claimProbe(service, request)) {
        return probe;
    }
    candidate_list candidates;
    for (const candidate_filter filter : {candidate_filter::ready, candidate_filter::healthy, candidate_filter::any}) {
        for (const std::vector<std::uint32_t> *indices : {&service.local, &service.remote, &service.outside}) {
            if (indices == &service.outside && filter == candidate_filter::ready) {
                continue;
            }
            collect(service, *indices, filter, request, candidates);
            if (candidates.empty()) {
                continue;
            }
            const candidate chosen = chooseOfTwo(candidates, request.random);
            const bool isLocal = indices == &service.local && filter == candidate_filter::ready;
            return isLocal ? spillIfFaster(service, chosen, request).routed : chosen.routed;
        }
    }
    return nullptr;
}

} // namespace cicadamux::detail
