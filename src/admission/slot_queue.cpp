/** @file slot_queue.cpp Admission to a backend server that announces its number of slots. */

#include "admission/slot_queue_base.h"

#include "core/invariant_func.h"

#include <algorithm>
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

void slot_queue::close(outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions)
{
    m_isOpen = false;
    m_closeReason = reason;
    m_keys.clear();
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[key, entry] : waiting) {
        refuse(entry.request, entry.since, reason, now, decisions);
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
    if (m_running.size() < m_limit && m_waiting.empty()) {
        admit(request, now, now, decisions);
        return;
    }
    const waiting_key key{request.rank, request.deadline, ++m_arrivals};
    if (now + expectedWait(countAhead(key)) > request.waitLimit) {
        refuse(request, now, outcome_reason::overloaded, now, decisions);
        return;
    }
    m_waiting.emplace(key, waiter{request, now});
    m_keys[request.call] = key;
    dispatch(now, decisions);
    while (m_waiting.size() > m_settings.maxWaiting) {
        const auto last = std::prev(m_waiting.end());
        const waiter refused = last->second;
        m_keys.erase(refused.request.call);
        m_waiting.erase(last);
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
        m_meanRun += m_settings.meanWeight * (static_cast<double>((now - found->second).count) - m_meanRun);
    }
    m_running.erase(found);
    dispatch(now, decisions);
}

bool slot_queue::withdraw(call_id call)
{
    const auto found = m_keys.find(call);
    if (found == m_keys.end()) {
        return false;
    }
    m_waiting.erase(found->second);
    m_keys.erase(found);
    return true;
}

void slot_queue::tick(clock_ms now, std::vector<slot_decision> &decisions)
{
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        const waiter entry = next->second;
        if (now < entry.request.waitLimit && entry.request.deadline - now >= m_settings.minTimeLeft) {
            ++next;
            continue;
        }
        m_keys.erase(entry.request.call);
        next = m_waiting.erase(next);
        refuse(entry.request, entry.since, outcome_reason::queue_timeout, now, decisions);
    }
    dispatch(now, decisions);
}

slot_snapshot slot_queue::snapshot() const
{
    slot_snapshot result;
    result.limit = m_isOpen ? m_limit : 0;
    result.inUse = static_cast<std::uint32_t>(m_running.size());
    result.waiting = static_cast<std::uint32_t>(m_waiting.size());
    result.meanRun = clock_ms{static_cast<std::int64_t>(m_meanRun)};
    return result;
}

void slot_queue::admit(const slot_request &request, clock_ms since, clock_ms now, std::vector<slot_decision> &decisions)
{
    checkInvariant(m_running.size() < m_limit, invariant::limit_held, "a call was admitted beyond the available slots");
    m_running.emplace(request.call, now);
    decisions.push_back({request.call, true, outcome_reason::none, now - since, {}});
}

void slot_queue::refuse(const slot_request &request, clock_ms since, outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions)
{
    decisions.push_back({request.call, false, reason, now - since, expectedWait(m_waiting.size())});
}

void slot_queue::dispatch(clock_ms now, std::vector<slot_decision> &decisions)
{
    while (m_isOpen && m_running.size() < m_limit && !m_waiting.empty()) {
        const auto first = m_waiting.begin();
        const waiter next = first->second;
        m_keys.erase(next.request.call);
        m_waiting.erase(first);
        if (next.request.deadline - now < m_settings.minTimeLeft) {
            refuse(next.request, next.since, outcome_reason::queue_timeout, now, decisions);
        } else {
            admit(next.request, next.since, now, decisions);
        }
    }
}

/** A slot becomes free about every meanRun / limit; the calls ahead take theirs first. */
clock_ms slot_queue::expectedWait(std::size_t ahead) const
{
    if (m_limit == 0) {
        return clock_ms{static_cast<std::int64_t>(m_meanRun)};
    }
    return clock_ms{static_cast<std::int64_t>(m_meanRun * static_cast<double>(ahead + 1) / m_limit)};
}

std::size_t slot_queue::countAhead(const waiting_key &key) const
{
    return static_cast<std::size_t>(std::distance(m_waiting.begin(), m_waiting.lower_bound(key)));
}

} // namespace cicadamux
