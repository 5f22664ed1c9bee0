/** @file backend_standin_worker.cpp Request processing of the backend stand-in: slots, a queue, service time and outgoing calls. */

#include "standin/backend_standin_worker.h"

#include "support/payload_func.h"
#include "support/target_func.h"

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr double coldFactor = 3; ///< Multiplies the service time during coldFor.
constexpr unsigned statusInternalError = 500;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
} // namespace

/** One request from its arrival to its answer. */
struct backend_worker::work_item {
    explicit work_item(boost::asio::io_context &context)
        : timer(context)
    {
    }

    std::shared_ptr<http_exchange> exchange;
    std::string operation;
    std::string id; ///< From the request's body.
    std::string call; ///< From the header cicadamux-call; empty without a daemon.
    std::string callContext; ///< From the header cicadamux-context.
    clock_ms deadline; ///< Point in time; zero if none applies.
    boost::asio::steady_timer timer;
    std::uint64_t run = 0; ///< Sequence number of the run, counted from 1.
    std::size_t callsMade = 0; ///< Outgoing calls started.
    bool isRunning = false;
    bool isCancelled = false;
    std::shared_ptr<http_exchange> cancelExchange; ///< The cancel request, which is answered when processing has ended.
};

backend_worker::backend_worker(boost::asio::io_context &context, const backend_settings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_caller(context, settings, m_counters)
{
}

void backend_worker::submit(const std::shared_ptr<http_exchange> &exchange)
{
    const http_message &request = exchange->request();
    ++m_counters.received;
    auto item = std::make_shared<work_item>(m_context);
    item->exchange = exchange;
    item->operation = headerOf(request, "cicadamux-operation");
    item->id = payloadId(request.body);
    item->call = headerOf(request, "cicadamux-call");
    item->callContext = headerOf(request, "cicadamux-context");
    const auto deadline = parseNumber(headerOf(request, "cicadamux-deadline-ms"));
    if (m_settings.honoursDeadline && deadline) {
        item->deadline = steadyNow() + clock_ms{*deadline};
    }
    if (!item->call.empty()) {
        m_byCall[item->call] = item;
    }
    if (shouldInject(backend_fault::shed)) {
        ++m_counters.shed;
        m_byCall.erase(item->call);
        exchange->answer({{}, {}, statusUnavailable, {{"cicadamux-shed", "1"}, {"cicadamux-call", item->call}}, formatPayload(item->id)});
        return;
    }
    m_queue.push_back(item);
    startNext();
}

void backend_worker::startNext()
{
    while (m_inUse < m_settings.slots && !m_queue.empty()) {
        const work_item_pointer item = m_queue.front();
        m_queue.pop_front();
        if (item->deadline.count != 0 && item->deadline < steadyNow()) {
            ++m_counters.expired;
            m_byCall.erase(item->call);
            answerError(item, "expired");
        } else {
            run(item);
        }
    }
}

void backend_worker::run(const work_item_pointer &item)
{
    ++m_inUse;
    m_counters.maxConcurrency = std::max(m_counters.maxConcurrency, m_inUse);
    item->run = ++m_counters.runs;
    ++m_counters.runsByOperation[item->operation];
    auto &ids = m_counters.runsById[item->operation];
    if (ids.size() < maxIds) {
        ++ids[item->id];
    }
    item->isRunning = true;
    item->timer.expires_after(serviceTime());
    item->timer.async_wait([this, item](boost::system::error_code) {
        makeNextCall(item);
    });
}

void backend_worker::makeNextCall(const work_item_pointer &item)
{
    const auto calls = m_settings.calls.find(item->operation);
    if (item->isCancelled || calls == m_settings.calls.end() || item->callsMade == calls->second.size()) {
        finish(item, true);
        return;
    }
    const outgoing_call &next = calls->second[item->callsMade];
    const std::string id = item->id + "/" + std::to_string(item->callsMade);
    ++item->callsMade;
    m_caller.call(next, item->callContext, id, [this, item](bool ok) {
        if (ok) {
            makeNextCall(item);
        } else {
            finish(item, false);
        }
    });
}

void backend_worker::finish(const work_item_pointer &item, bool ok)
{
    if (item->isCancelled || !shouldInject(backend_fault::late_answer)) {
        respond(item, ok);
        return;
    }
    item->timer.expires_after(std::chrono::milliseconds(fault(backend_fault::late_answer).delay.count));
    item->timer.async_wait([this, item, ok](boost::system::error_code) {
        respond(item, ok);
    });
}

void backend_worker::respond(const work_item_pointer &item, bool ok)
{
    if (item->isCancelled) {
        ++m_counters.cancelled;
        item->exchange->close();
        release(item);
        return;
    }
    http_message answer;
    const bool isFailed = shouldInject(backend_fault::fail);
    if (isFailed) {
        answer.status = statusInternalError;
    } else if (!ok) {
        answer.status = statusBadGateway;
    }
    answer.headers = {{"content-type", "application/json"}, {"cicadamux-call", item->call}};
    answer.body = R"({"id":")" + item->id + R"(","run":)" + std::to_string(item->run) + R"(,"service":")" + m_settings.service + R"("})";
    m_counters.answered += isFailed || !ok ? 0 : 1;
    m_counters.failed += isFailed || !ok ? 1 : 0;
    const std::string bytes = http_server::format(answer);
    if (shouldInject(backend_fault::half_answer)) {
        item->exchange->answerBytes(bytes.substr(0, bytes.size() / 2), true);
    } else if (shouldInject(backend_fault::double_answer)) {
        item->exchange->answerBytes(bytes + bytes, false);
    } else if (shouldInject(backend_fault::repeated_refusal)) {
        const http_message refusal{{}, {}, statusUnavailable, {{"cicadamux-shed", "1"}, {"cicadamux-call", "00000000000000aa"}}, {}};
        item->exchange->answerBytes(http_server::format(refusal) + bytes, false);
    } else if (shouldInject(backend_fault::wrong_length)) {
        item->exchange->answerBytes("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n" + answer.body, true);
    } else if (shouldInject(backend_fault::no_answer)) {
        item->exchange->close();
    } else {
        item->exchange->answer(answer);
    }
    release(item);
}

void backend_worker::release(const work_item_pointer &item)
{
    item->isRunning = false;
    --m_inUse;
    m_byCall.erase(item->call);
    acknowledgeCancel(item);
    startNext();
}

void backend_worker::answerError(const work_item_pointer &item, std::string_view problem)
{
    ++m_counters.failed;
    http_message answer;
    answer.status = statusUnavailable;
    answer.body = R"({"id":")" + item->id + R"(","problem":")" + std::string(problem) + R"("})";
    item->exchange->answer(answer);
}

void backend_worker::cancel(const std::shared_ptr<http_exchange> &exchange)
{
    const auto found = m_byCall.find(std::string(headerOf(exchange->request(), "cicadamux-call")));
    if (found == m_byCall.end()) {
        exchange->answer({});
        return;
    }
    const work_item_pointer item = found->second;
    item->isCancelled = true;
    item->cancelExchange = exchange;
    if (item->isRunning) {
        item->timer.cancel();
        return;
    }
    ++m_counters.cancelled;
    std::erase(m_queue, item);
    m_byCall.erase(found);
    item->exchange->close();
    acknowledgeCancel(item);
}

void backend_worker::acknowledgeCancel(const work_item_pointer &item)
{
    if (const auto cancelExchange = std::exchange(item->cancelExchange, nullptr)) {
        cancelExchange->answer({});
    }
}

std::uint32_t backend_worker::inUse() const
{
    return m_inUse;
}

std::size_t backend_worker::unfinished() const
{
    return m_inUse + m_queue.size();
}

const backend_counters &backend_worker::counters() const
{
    return m_counters;
}

std::chrono::microseconds backend_worker::serviceTime()
{
    constexpr double microseconds = 1'000;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    double time = m_settings.serviceMs * microseconds * spread(m_random);
    if (steadyNow() - m_started < m_settings.coldFor) {
        time *= coldFactor;
    }
    if (shouldInject(backend_fault::slow)) {
        time *= fault(backend_fault::slow).factor;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(time));
}

} // namespace cicadamux::test
