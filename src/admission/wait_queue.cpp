/** @file wait_queue.cpp Queue of the calls that wait at a gate. */

#include "admission/wait_queue_base.h"

#include <algorithm>
#include <limits>

namespace cicadamux::detail
{

namespace
{
constexpr double minCostMs = 0.1; ///< Minimum charged for one admission.

double costOf(const work_class &workClass)
{
    return std::max(minCostMs, workClass.slotTime.mean());
}

wait_key keyOf(const gate_call &call, std::uint64_t sequence)
{
    const auto shallowness = static_cast<std::uint8_t>(std::numeric_limits<std::uint8_t>::max() - call.depth);
    return {shallowness, call.deadline, sequence};
}

work_class *nextClass(const tier_state &tier)
{
    work_class *best = nullptr;
    for (const auto &candidate : tier.classes) {
        if (!candidate->waiting.empty() && (best == nullptr || candidate->pass < best->pass)) {
            best = candidate.get();
        }
    }
    return best;
}

work_class *largestClass(const tier_state &tier)
{
    work_class *best = nullptr;
    for (const auto &candidate : tier.classes) {
        if (best == nullptr || candidate->waiting.size() > best->waiting.size()) {
            best = candidate.get();
        }
    }
    return best;
}
} // namespace

wait_queue::wait_queue(class_table &classes)
    : m_classes(classes)
{
}

void wait_queue::push(const gate_call &call, work_class &workClass, clock_ms now)
{
    tier_state &tier = m_classes.tier(workClass.tier);
    if (workClass.waiting.empty()) {
        workClass.pass = std::max(workClass.pass, tier.virtualTime);
    }
    if (tier.waiting == 0) {
        tier.pass = std::max(tier.pass, m_virtualTime);
    }
    const wait_key key = keyOf(call, m_nextSequence++);
    workClass.waiting.emplace(key, waiting_call{call, now});
    m_places.insert_or_assign(call.call, place{&workClass, key});
    ++tier.waiting;
    countStrict(call, workClass, 1);
}

std::optional<std::size_t> wait_queue::firstTier() const
{
    for (std::size_t index = 0; index < tierCount; ++index) {
        if (m_classes.tier(index).waiting > 0) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> wait_queue::lastTier() const
{
    for (std::size_t index = tierCount; index-- > 0;) {
        if (m_classes.tier(index).waiting > 0) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> wait_queue::nextTier() const
{
    const std::optional<std::size_t> first = firstTier();
    if (!first || *first < firstUnprotectedTier) {
        return first;
    }
    std::size_t best = *first;
    for (std::size_t index = best + 1; index < tierCount; ++index) {
        const tier_state &tier = m_classes.tier(index);
        if (tier.waiting > 0 && tier.pass < m_classes.tier(best).pass) {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> wait_queue::tierToRefuse() const
{
    const std::optional<std::size_t> last = lastTier();
    if (!last || *last < firstUnprotectedTier) {
        return last;
    }
    std::size_t best = *last;
    double maxHeld = 0;
    for (std::size_t index = tierCount; index-- > firstUnprotectedTier;) {
        const tier_state &tier = m_classes.tier(index);
        const double held = static_cast<double>(tier.waiting) / tier.effort;
        if (held > maxHeld) {
            maxHeld = held;
            best = index;
        }
    }
    return best;
}

std::optional<taken_call> wait_queue::takeNext()
{
    const std::optional<std::size_t> tier = nextTier();
    if (!tier) {
        return std::nullopt;
    }
    work_class *workClass = nextClass(m_classes.tier(*tier));
    return remove(*workClass, workClass->waiting.begin());
}

std::optional<taken_call> wait_queue::takeNextToRefuse()
{
    const std::optional<std::size_t> tier = tierToRefuse();
    if (!tier) {
        return std::nullopt;
    }
    work_class *workClass = largestClass(m_classes.tier(*tier));
    return remove(*workClass, std::prev(workClass->waiting.end()));
}

std::optional<taken_call> wait_queue::take(call_id call)
{
    const auto found = m_places.find(call);
    if (found == m_places.end()) {
        return std::nullopt;
    }
    work_class *workClass = found->second.workClass;
    return remove(*workClass, workClass->waiting.find(found->second.key));
}

std::vector<taken_call> wait_queue::takeIf(const std::function<bool(const waiting_call &, const work_class &)> &wanted)
{
    std::vector<taken_call> taken;
    for (std::size_t index = 0; index < tierCount; ++index) {
        if (m_classes.tier(index).waiting == 0) {
            continue;
        }
        for (const auto &workClass : m_classes.tier(index).classes) {
            for (auto position = workClass->waiting.begin(); position != workClass->waiting.end();) {
                const auto current = position++;
                if (wanted(current->second, *workClass)) {
                    taken.push_back(remove(*workClass, current));
                }
            }
        }
    }
    return taken;
}

std::vector<taken_call> wait_queue::takeBelow(std::size_t tier)
{
    const std::optional<std::size_t> last = lastTier();
    if (!last || *last <= tier) {
        return {};
    }
    return takeIf([tier](const waiting_call &, const work_class &workClass) {
        return workClass.tier > tier;
    });
}

void wait_queue::charge(work_class &workClass)
{
    tier_state &tier = m_classes.tier(workClass.tier);
    const double cost = costOf(workClass);
    tier.virtualTime = std::max(tier.virtualTime, workClass.pass);
    workClass.pass = std::max(workClass.pass, tier.virtualTime) + cost;
    if (workClass.tier >= firstUnprotectedTier) {
        m_virtualTime = std::max(m_virtualTime, tier.pass);
        tier.pass = std::max(tier.pass, m_virtualTime) + cost / tier.effort;
    }
}

bool wait_queue::contains(call_id call) const
{
    return m_places.contains(call);
}

std::size_t wait_queue::size() const
{
    return m_places.size();
}

std::size_t wait_queue::strictSize() const
{
    return m_strict;
}

std::size_t wait_queue::strictProtectedSize() const
{
    return m_strictProtected;
}

void wait_queue::countStrict(const gate_call &call, const work_class &workClass, int change)
{
    if (call.lateOk) {
        return;
    }
    m_strict += change;
    m_strictProtected += workClass.tier < firstUnprotectedTier ? change : 0;
}

taken_call wait_queue::remove(work_class &workClass, std::map<wait_key, waiting_call>::iterator position)
{
    taken_call taken{std::move(position->second), &workClass};
    workClass.waiting.erase(position);
    m_places.erase(taken.waiter.call.call);
    --m_classes.tier(workClass.tier).waiting;
    countStrict(taken.waiter.call, workClass, -1);
    return taken;
}

} // namespace cicadamux::detail
