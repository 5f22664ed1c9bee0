/** @file running_calls.cpp Calls in execution at the backend server, matched with the calls that they make by deadline. */

#include "sidecar/running_calls_base.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr clock_ms earlyTolerance{2}; ///< Rounding may make a call's deadline seem earlier than its run's.
constexpr clock_ms lateTolerance{8}; ///< The time until the call is read here makes its deadline seem later.
} // namespace

void running_calls::add(call_id call, clock_ms deadline, double repeatWeight)
{
    m_runs[call] = {deadline, repeatWeight, call_loss::none};
    m_byDeadline.emplace(deadline, call);
}

void running_calls::remove(call_id call)
{
    const auto found = m_runs.find(call);
    if (found == m_runs.end()) {
        return;
    }
    const auto [first, last] = m_byDeadline.equal_range(found->second.deadline);
    const auto entry = std::find_if(first, last, [call](const auto &pair) {
        return pair.second == call;
    });
    if (entry != last) {
        m_byDeadline.erase(entry);
    }
    m_runs.erase(found);
}

parent_match running_calls::find(clock_ms deadline) const
{
    parent_match match;
    const auto last = m_byDeadline.upper_bound(deadline + earlyTolerance);
    for (auto next = m_byDeadline.lower_bound(deadline - lateTolerance); next != last; ++next) {
        match.candidates.push_back(next->second);
        match.repeatWeight += m_runs.at(next->second).repeatWeight;
    }
    if (match.isFound()) {
        match.repeatWeight /= static_cast<double>(match.candidates.size());
    }
    return match;
}

double running_calls::meanRepeatWeight() const
{
    double sum = 0;
    for (const auto &[call, run] : m_runs) {
        sum += run.repeatWeight;
    }
    return m_runs.empty() ? 0 : sum / static_cast<double>(m_runs.size());
}

void running_calls::recordLostCall(const parent_match &parents, call_loss loss)
{
    for (const call_id candidate : parents.candidates) {
        const auto found = m_runs.find(candidate);
        if (found != m_runs.end()) {
            found->second.loss = std::max(found->second.loss, loss);
        }
    }
}

call_loss running_calls::lostCall(call_id call) const
{
    const auto found = m_runs.find(call);
    return found == m_runs.end() ? call_loss::none : found->second.loss;
}

} // namespace cicadamux
