/** @file wait_queue.cpp The calls that wait at a gate. */

#include "admission/wait_queue_base.h"

#include <algorithm>
#include <limits>

namespace cicadamux::detail
{

namespace
{
constexpr double leastCost = 0.1; ///< Milliseconds charged for one admission at least.

double costOf(const work_class &owner)
{
    return std::max(leastCost, owner.service.mean());
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

void wait_queue::push(const gate_call &call, work_class &owner, clock_ms now)
{
    tier_state &tier = m_classes.tier(owner.tier);
    if (owner.waiting.empty()) {
        owner.pass = std::max(owner.pass, tier.virtualTime);
    }
    if (tier.waiting == 0) {
        tier.pass = std::max(tier.pass, m_virtualTime);
    }
    const wait_key key = keyOf(call, m_nextSequence++);
    owner.waiting.emplace(key, waiting_call{call, now});
    m_places.insert_or_assign(call.call, place{&owner, key});
    ++tier.waiting;
    countStrict(call, owner, 1);
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
    if (!first || *first < firstLesserTier) {
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
    if (!last || *last < firstLesserTier) {
        return last;
    }
    std::size_t best = *last;
    double most = 0;
    for (std::size_t index = tierCount; index-- > firstLesserTier;) {
        const tier_state &tier = m_classes.tier(index);
        const double held = static_cast<double>(tier.waiting) / tier.effort;
        if (held > most) {
            most = held;
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
    work_class *owner = nextClass(m_classes.tier(*tier));
    return remove(*owner, owner->waiting.begin());
}

std::optional<taken_call> wait_queue::takeLast()
{
    const std::optional<std::size_t> tier = tierToRefuse();
    if (!tier) {
        return std::nullopt;
    }
    work_class *owner = largestClass(m_classes.tier(*tier));
    return remove(*owner, std::prev(owner->waiting.end()));
}

std::optional<taken_call> wait_queue::take(call_id call)
{
    const auto found = m_places.find(call);
    if (found == m_places.end()) {
        return std::nullopt;
    }
    work_class *owner = found->second.owner;
    return remove(*owner, owner->waiting.find(found->second.key));
}

std::vector<taken_call> wait_queue::takeIf(const std::function<bool(const waiting_call &, const work_class &)> &wanted)
{
    std::vector<taken_call> taken;
    for (std::size_t index = 0; index < tierCount; ++index) {
        if (m_classes.tier(index).waiting == 0) {
            continue;
        }
        for (const auto &owner : m_classes.tier(index).classes) {
            for (auto position = owner->waiting.begin(); position != owner->waiting.end();) {
                const auto current = position++;
                if (wanted(current->second, *owner)) {
                    taken.push_back(remove(*owner, current));
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
    return takeIf([tier](const waiting_call &, const work_class &owner) {
        return owner.tier > tier;
    });
}

void wait_queue::charge(work_class &owner)
{
    tier_state &tier = m_classes.tier(owner.tier);
    const double cost = costOf(owner);
    tier.virtualTime = std::max(tier.virtualTime, owner.pass);
    owner.pass = std::max(owner.pass, tier.virtualTime) + cost;
    if (owner.tier >= firstLesserTier) {
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

void wait_queue::countStrict(const gate_call &call, const work_class &owner, int change)
{
    if (call.lateOk) {
        return;
    }
    m_strict += change;
    m_strictProtected += owner.tier < firstLesserTier ? change : 0;
}

taken_call wait_queue::remove(work_class &owner, std::map<wait_key, waiting_call>::iterator position)
{
    taken_call taken{std::move(position->second), &owner};
    owner.waiting.erase(position);
    m_places.erase(taken.waiter.call.call);
    --m_classes.tier(owner.tier).waiting;
    countStrict(taken.waiter.call, owner, -1);
    return taken;
}

} // namespace cicadamux::detail
