/** @file policy_watch.cpp Schedules the calls by which a duty holder watches one kind of policy objects in the platform. */

#include "fleet/policy_watch_base.h"

#include "core/log_func.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms takeOverDelay{300}; ///< Delay before the first list of a new duty holder; jittered.
constexpr clock_ms relistPeriod{300'000}; ///< Interval between two lists while the watch succeeds; jittered.
constexpr clock_ms firstBackoff{500}; ///< Wait after the first failure; doubles with each further one; jittered.
constexpr clock_ms maxBackoff{8'000}; ///< Maximum wait after a failure, before jitter.
constexpr clock_ms budgetWait{5'000}; ///< Wait after the daemon's own call budget was exhausted; jittered.
constexpr clock_ms earlyReturnWait{500}; ///< Wait after a watch that returned early without changes; jittered.
constexpr std::uint32_t maxDoublings = 8;
} // namespace

policy_watch::policy_watch(std::string kind, clock_ms wait, objects_hook offer, random_source random)
    : m_kind(std::move(kind))
    , m_wait(wait)
    , m_offer(std::move(offer))
    , m_random(std::move(random))
{
}

const std::string &policy_watch::kind() const
{
    return m_kind;
}

std::uint64_t policy_watch::cursor() const
{
    return m_cursor;
}

clock_ms policy_watch::jittered(clock_ms span) const
{
    return {(span.count / 2) + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(span.count + 1))};
}

policy_watch::action policy_watch::next(bool holdsDuty, clock_ms now)
{
    if (holdsDuty && !m_holdsDuty) {
        m_isListed = false;
        m_nextCall = std::max(m_nextCall, now + jittered(takeOverDelay));
    }
    m_holdsDuty = holdsDuty;
    if (!holdsDuty || m_isCallPending || now < m_nextCall) {
        return action::none;
    }
    m_isCallPending = true;
    m_startedAt = now;
    m_currentAction = m_isListed && now < m_nextList ? action::watch : action::list;
    return m_currentAction;
}

void policy_watch::finished(const store_result<store_changes> &result, clock_ms now)
{
    m_isCallPending = false;
    m_nextCall = now;
    if (result.failure != store_failure::none) {
        failed(result.failure, now);
        return;
    }
    if (m_failures > 0) {
        logEvent(log_level::info, "platform_back", {{"kind", m_kind}, {"failures", m_failures}});
    }
    m_failures = 0;
    m_offer(result.value.items);
    if (m_currentAction == action::list) {
        listed(result.value, now);
    } else {
        watched(result.value, now);
    }
}

void policy_watch::listed(const store_changes &changes, clock_ms now)
{
    if (changes.cursor < m_cursor) {
        logEvent(log_level::warning, "platform_went_back", {{"kind", m_kind}, {"cursor", changes.cursor}, {"before", m_cursor}});
    }
    m_cursor = changes.cursor;
    m_isListed = true;
    m_nextList = now + jittered(relistPeriod);
}

void policy_watch::watched(const store_changes &changes, clock_ms now)
{
    if (changes.cursor < m_cursor) {
        m_isListed = false; // The store was replaced or restored; only a list returns its contents.
        m_nextCall = now + jittered(earlyReturnWait);
        return;
    }
    m_cursor = changes.cursor;
    const bool isEarlyReturn = changes.items.empty() && (now - m_startedAt).count < m_wait.count / 2;
    if (isEarlyReturn) {
        m_nextCall = now + jittered(earlyReturnWait);
    }
}

void policy_watch::failed(store_failure failure, clock_ms now)
{
    if (failure == store_failure::cursor_too_old) {
        m_isListed = false;
        m_nextCall = now + jittered(takeOverDelay);
        return;
    }
    if (failure == store_failure::over_budget) {
        m_nextCall = now + jittered(budgetWait);
        return;
    }
    const std::uint32_t doublings = std::min(m_failures, maxDoublings);
    ++m_failures;
    const clock_ms wait{std::min(firstBackoff.count << doublings, maxBackoff.count)};
    m_nextCall = now + jittered(wait);
    if (m_failures == 1) {
        logEvent(log_level::warning, "platform_failed", {{"kind", m_kind}, {"failure", toString(failure)}});
    }
}

} // namespace cicadamux::detail
