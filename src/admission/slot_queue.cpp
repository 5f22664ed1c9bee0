/** @file slot_queue.cpp Admission to a backend server that announces its number of slots. */

#include "admission/slot_queue_base.h"

#include "core/invariant_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadamux
{

slot_queue::slot_queue(const slot_queue_settings &settings)
    : m_settings(settings)
    , m_meanRun(static_cast<double>(settings.initialMeanRun.count))
{
}

void slot_queue::setSlots(std::uint32_t slots, clock_ms now, std::vector<slot_decision> &decisions)
{
    m_isOpen = true;
    m_limit = std::max<std::uint32_t>(1, slots > m_settings.reservedSlots ? slots - m_settings.reservedSlots : 1);
    dispatch(now, decisions);
}

void slot_queue::setRate(std::optional<double> perSecond, clock_ms now, std::vector<slot_decision> &decisions)
{
    m_rate.set(perSecond, now);
    dispatch(now, decisions);
}

void slot_queue::close(outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions)
{
    m_isOpen = false;
    m_closeReason = reason;
    m_places.clear();
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[rank, groups] : waiting) {
        for (const auto &[group, calls] : groups) {
            for (const auto &[key, entry] : calls) {
                refuse(entry.request, entry.since, reason, now, decisions);
            }
        }
    }
}

void slot_queue::submit(const slot_request &request, clock_ms now, std::vector<slot_decision> &decisions)
{
    if (!m_isOpen) {
        refuse(request, now, m_closeReason, now, decisions);
        return;
    }
    if (request.deadline - now < m_settings.minTimeLeft) {
        refuse(request, now, outcome_reason::deadline_passed, now, decisions);
        return;
    }
    if (mayAdmit(now) && m_waiting.empty()) {
        admit(request, now, now, decisions);
        return;
    }
    const waiting_place place{request.rank, request.group, {request.deadline, ++m_arrivals}};
    if (now + expectedWait(countAhead(place), now) > request.waitLimit) {
        refuse(request, now, outcome_reason::overloaded, now, decisions);
        return;
    }
    add(place, {request, now});
    dispatch(now, decisions);
    while (m_places.size() > m_settings.maxWaiting) {
        const waiter refused = take(lastPlace());
        refuse(refused.request, refused.since, outcome_reason::overloaded, now, decisions);
    }
}

void slot_queue::finish(call_id call, bool wasRun, clock_ms now, std::vector<slot_decision> &decisions)
{
    const auto found = m_running.find(call);
    checkInvariant(found != m_running.end(), invariant::slot_accounting, "a slot was released that is not held");
    if (found == m_running.end()) {
        return;
    }
    if (wasRun) {
        m_meanRun += m_settings.meanWeight * (static_cast<double>((now - found->second.admittedAt).count) - m_meanRun);
    }
    const auto inUse = m_inUse.find(found->second.group);
    if (--inUse->second == 0) {
        m_inUse.erase(inUse);
    }
    m_running.erase(found);
    dispatch(now, decisions);
}

bool slot_queue::withdraw(call_id call)
{
    const auto found = m_places.find(call);
    if (found == m_places.end()) {
        return false;
    }
    take(waiting_place(found->second));
    return true;
}

void slot_queue::tick(clock_ms now, std::vector<slot_decision> &decisions)
{
    std::vector<waiting_place> expired;
    for (const auto &[rank, groups] : m_waiting) {
        for (const auto &[group, calls] : groups) {
            for (const auto &[key, entry] : calls) {
                if (now >= entry.request.waitLimit || entry.request.deadline - now < m_settings.minTimeLeft) {
                    expired.push_back({rank, group, key});
                }
            }
        }
    }
    for (const waiting_place &place : expired) {
        const waiter entry = take(place);
        refuse(entry.request, entry.since, outcome_reason::queue_timeout, now, decisions);
    }
    dispatch(now, decisions);
}

slot_snapshot slot_queue::snapshot(clock_ms now) const
{
    slot_snapshot result;
    result.limit = m_isOpen ? m_limit : 0;
    result.usableLimit = m_isOpen ? usableLimit() : 0;
    result.inUse = static_cast<std::uint32_t>(m_running.size());
    result.waiting = static_cast<std::uint32_t>(m_places.size());
    result.meanRun = clock_ms{static_cast<std::int64_t>(m_meanRun)};
    result.noRoomFor = m_rate.wait(m_places.size(), now);
    return result;
}

void slot_queue::admit(const slot_request &request, clock_ms since, clock_ms now, std::vector<slot_decision> &decisions)
{
    checkInvariant(m_running.size() < m_limit, invariant::limit_held, "a call was admitted beyond the available slots");
    m_rate.take(now);
    m_running.emplace(request.call, running_call{now, request.group});
    ++m_inUse[request.group];
    decisions.push_back({request.call, true, outcome_reason::none, now - since, {}});
}

void slot_queue::refuse(const slot_request &request, clock_ms since, outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions)
{
    decisions.push_back({request.call, false, reason, now - since, expectedWait(m_places.size(), now)});
}

void slot_queue::dispatch(clock_ms now, std::vector<slot_decision> &decisions)
{
    while (m_isOpen && mayAdmit(now) && !m_waiting.empty()) {
        const waiter next = take(firstPlace());
        if (next.request.deadline - now < m_settings.minTimeLeft) {
            refuse(next.request, next.since, outcome_reason::queue_timeout, now, decisions);
        } else {
            admit(next.request, next.since, now, decisions);
        }
    }
}

void slot_queue::add(const waiting_place &place, const waiter &entry)
{
    m_waiting[place.rank][place.group].emplace(place.key, entry);
    m_places[entry.request.call] = place;
}

slot_queue::waiter slot_queue::take(const waiting_place &place)
{
    const auto rank = m_waiting.find(place.rank);
    const auto group = rank->second.find(place.group);
    const auto found = group->second.find(place.key);
    const waiter taken = found->second;
    m_places.erase(taken.request.call);
    group->second.erase(found);
    if (group->second.empty()) {
        rank->second.erase(group);
    }
    if (rank->second.empty()) {
        m_waiting.erase(rank);
    }
    return taken;
}

/** @return The next call to be admitted; of groups with equally many slots in use, the one with the earlier deadline. */
slot_queue::waiting_place slot_queue::firstPlace() const
{
    const auto &[rank, groups] = *m_waiting.begin();
    const auto next = std::ranges::min_element(groups, {}, [this](const auto &entry) {
        return std::pair(slotsInUse(entry.first), entry.second.begin()->first);
    });
    return {rank, next->first, next->second.begin()->first};
}

slot_queue::waiting_place slot_queue::lastPlace() const
{
    const auto &[rank, groups] = *m_waiting.rbegin();
    const auto longest = std::ranges::max_element(groups, {}, [](const auto &entry) {
        return entry.second.size();
    });
    return {rank, longest->first, longest->second.rbegin()->first};
}

std::uint32_t slot_queue::slotsInUse(std::uint32_t group) const
{
    const auto found = m_inUse.find(group);
    return found == m_inUse.end() ? 0 : found->second;
}

bool slot_queue::mayAdmit(clock_ms now) const
{
    return m_running.size() < m_limit && m_rate.isFree(now);
}

/** By Little's law a rate keeps as many slots in use as calls start during one run. */
std::uint32_t slot_queue::usableLimit() const
{
    if (!m_rate.rate()) {
        return m_limit;
    }
    constexpr double second = 1'000; // Milliseconds.
    const double inUse = std::ceil(*m_rate.rate() * m_meanRun / second);
    return static_cast<std::uint32_t>(std::clamp(inUse, 1.0, static_cast<double>(std::max<std::uint32_t>(1, m_limit))));
}

/** A slot becomes free about every meanRun / limit; the calls ahead take theirs first. */
clock_ms slot_queue::expectedWait(std::size_t ahead, clock_ms now) const
{
    const clock_ms byRate = m_rate.wait(ahead, now);
    if (m_limit == 0) {
        return std::max(byRate, clock_ms{static_cast<std::int64_t>(m_meanRun)});
    }
    if (m_rate.rate() && m_running.size() + ahead < m_limit) {
        return byRate;
    }
    return std::max(byRate, clock_ms{static_cast<std::int64_t>(m_meanRun * static_cast<double>(ahead + 1) / m_limit)});
}

/** Calls of another group of the rank go first only until that group has as many slots as this one will have. */
std::size_t slot_queue::countAhead(const waiting_place &place) const
{
    std::size_t ahead = 0;
    for (const auto &[rank, groups] : m_waiting) {
        if (rank > place.rank) {
            break;
        }
        const auto own = groups.find(place.group);
        const bool isOwnRank = rank == place.rank;
        const auto ownAhead
            = isOwnRank && own != groups.end() ? static_cast<std::size_t>(std::distance(own->second.begin(), own->second.lower_bound(place.key))) : 0;
        for (const auto &[group, calls] : groups) {
            if (!isOwnRank) {
                ahead += calls.size();
            } else if (group == place.group) {
                ahead += ownAhead;
            } else {
                const std::size_t ownSlots = slotsInUse(place.group) + ownAhead + 1;
                const std::size_t otherSlots = slotsInUse(group);
                ahead += std::min(calls.size(), ownSlots > otherSlots ? ownSlots - otherSlots : 0);
            }
        }
    }
    return ahead;
}

} // namespace cicadamux
