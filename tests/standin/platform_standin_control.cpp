/** @file platform_standin_control.cpp The /control interface of the platform stand-in: faults and counters. */

#include "standin/platform_standin_api.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms defaultFaultDuration{86'400'000}; ///< A fault without for_ms lasts for a day, unless it is cleared.
constexpr unsigned statusBadRequest = 400;

std::int64_t numberIn(const boost::json::object &command, std::string_view key, std::int64_t defaultValue)
{
    const auto *value = command.if_contains(key);
    return value != nullptr && value->is_int64() ? value->get_int64() : defaultValue;
}
} // namespace

void platform_api::handleControl(const std::shared_ptr<http_exchange> &exchange)
{
    http_message answer;
    const http_message &request = exchange->request();
    if (request.method == "POST") {
        boost::system::error_code failure;
        const auto command = boost::json::parse(request.body, failure);
        if (failure || !command.is_object() || !command.as_object().contains("fault")) {
            answer.status = statusBadRequest;
            exchange->answer(answer);
            return;
        }
        applyFault(command.as_object());
    }
    answer.headers.push_back({"content-type", "application/json"});
    answer.body = boost::json::serialize(counters());
    exchange->answer(answer);
}

void platform_api::applyFault(const boost::json::object &command)
{
    const auto &name = command.at("fault").as_string();
    const clock_ms until = steadyNow() + clock_ms{numberIn(command, "for_ms", defaultFaultDuration.count)};
    const auto count = static_cast<std::uint32_t>(numberIn(command, "count", 1));
    const clock_ms delay{numberIn(command, "delay_ms", 1'000)};
    if (name == "down") {
        m_faults.downUntil = until;
        closeWatches();
    } else if (name == "slow") {
        m_faults.slowUntil = until;
        m_faults.delay = delay;
    } else if (name == "lost_write_answers") {
        m_faults.lostWriteAnswers = count;
    } else if (name == "stale_reads") {
        m_faults.staleCopy = m_store;
    } else if (name == "close_watches") {
        closeWatches();
    } else if (name == "duplicate_answers") {
        m_faults.duplicateAnswers = count;
    } else if (name == "late_answers") {
        m_faults.lateAnswers = count;
        m_faults.lateDelay = delay;
    } else if (name == "save") {
        m_saved = m_store;
    } else if (name == "restore") {
        m_store.restore(m_saved ? *m_saved : platform_store());
        wakeWatches();
    } else if (name == "clear") {
        m_faults = {};
        wakeWatches();
    }
}

boost::json::object platform_api::counters() const
{
    return {{"gets", m_counters.gets},
            {"lists", m_counters.lists},
            {"watches", m_counters.watches},
            {"writes", m_counters.writes},
            {"conflicts", m_counters.conflicts},
            {"closed", m_counters.closed},
            {"calls", m_counters.gets + m_counters.lists + m_counters.watches + m_counters.writes},
            {"reads", m_counters.gets + m_counters.lists + m_counters.watches},
            {"max_per_second", m_counters.maxPerSecond},
            {"waiting_watches", m_watches.size()}};
}

} // namespace cicadamux::test
