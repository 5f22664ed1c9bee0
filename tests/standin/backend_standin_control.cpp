/** @file backend_standin_control.cpp The /control interface of the backend stand-in: faults and counters. */

#include "standin/backend_standin_server.h"

#include "support/target_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms defaultFaultDuration{86'400'000}; ///< A fault without for_ms lasts for a day, unless it is cleared.
constexpr unsigned statusBadRequest = 400;

double numberIn(const boost::json::object &command, std::string_view key, double defaultValue)
{
    const auto *value = command.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : defaultValue;
}
} // namespace

void backend_server::handleControl(const std::shared_ptr<http_exchange> &exchange)
{
    http_message answer;
    const http_message &request = exchange->request();
    if (request.method == "POST") {
        boost::system::error_code failure;
        const auto command = boost::json::parse(request.body, failure);
        if (failure || !command.is_object() || !applyFault(command.as_object())) {
            answer.status = statusBadRequest;
            exchange->answer(answer);
            return;
        }
    }
    answer.headers = {{"content-type", "application/json"}};
    answer.body = boost::json::serialize(counters());
    exchange->answer(answer);
}

bool backend_server::applyFault(const boost::json::object &command)
{
    const auto *name = command.if_contains("fault");
    if (name == nullptr || !name->is_string()) {
        return false;
    }
    if (name->get_string() == "clear") {
        m_worker.clearFaults();
        return true;
    }
    const auto found = std::find(backendFaultNames.begin(), backendFaultNames.end(), std::string_view(name->get_string()));
    if (found == backendFaultNames.end()) {
        return false;
    }
    fault_state fault;
    fault.ratio = numberIn(command, "ratio", 1);
    fault.count = static_cast<std::int64_t>(numberIn(command, "count", std::numeric_limits<std::int32_t>::max()));
    fault.factor = numberIn(command, "factor", 1);
    fault.delay = {static_cast<std::int64_t>(numberIn(command, "delay_ms", 1'000))};
    fault.until = steadyNow() + clock_ms{static_cast<std::int64_t>(numberIn(command, "for_ms", static_cast<double>(defaultFaultDuration.count)))};
    m_worker.setFault(static_cast<backend_fault>(found - backendFaultNames.begin()), fault);
    return true;
}

boost::json::object backend_server::counters() const
{
    const backend_counters &counters = m_worker.counters();
    boost::json::object byOperation;
    for (const auto &[operation, runs] : counters.runsByOperation) {
        byOperation[operation] = runs;
    }
    return {{"service", m_settings.service},
            {"received", counters.received},
            {"runs", counters.runs},
            {"answered", counters.answered},
            {"failed", counters.failed},
            {"shed", counters.shed},
            {"cancelled", counters.cancelled},
            {"expired", counters.expired},
            {"calls_made", counters.callsMade},
            {"calls_retried", counters.callsRetried},
            {"calls_not_run", counters.callsNotRun},
            {"calls_unknown", counters.callsUnknown},
            {"wrong_answers", counters.wrongAnswers},
            {"max_concurrency", counters.maxConcurrency},
            {"unfinished", m_worker.unfinished()},
            {"connections", m_server.connections()},
            {"runs_by_operation", std::move(byOperation)}};
}

void backend_server::handleRuns(const std::shared_ptr<http_exchange> &exchange)
{
    const request_target target = splitTarget(exchange->request().target);
    const auto operation = target.query.find("operation");
    boost::json::object runs;
    if (operation != target.query.end()) {
        const auto &byOperation = m_worker.counters().runsById;
        const auto found = byOperation.find(operation->second);
        if (found != byOperation.end()) {
            for (const auto &[id, count] : found->second) {
                runs[id] = count;
            }
        }
    }
    http_message answer;
    answer.body = boost::json::serialize(runs);
    exchange->answer(answer);
}

} // namespace cicadamux::test
