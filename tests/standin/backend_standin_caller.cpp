/** @file backend_standin_caller.cpp The outgoing calls of the backend stand-in. */

#include "standin/backend_standin_caller.h"

#include "support/payload_func.h"

namespace cicadamux::test
{

namespace
{
constexpr unsigned statusOk = 200;
}

struct backend_caller::pending_call {
    outgoing_call target;
    std::string callContext;
    std::string id;
    call_handler handler;
    std::uint32_t attempts = 0;
};

backend_caller::backend_caller(boost::asio::io_context &context, const backend_settings &settings, backend_counters &counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_client(context)
{
}

void backend_caller::call(const outgoing_call &target, const std::string &callContext, const std::string &id, call_handler handler)
{
    auto pending = std::make_shared<pending_call>();
    pending->target = target;
    pending->callContext = callContext;
    pending->id = id;
    pending->handler = std::move(handler);
    attempt(pending);
}

void backend_caller::attempt(const std::shared_ptr<pending_call> &pending)
{
    const std::string address = addressOf(pending->target.service);
    if (address.empty()) {
        pending->handler(false);
        return;
    }
    ++m_counters.callsMade;
    m_counters.callsRetried += pending->attempts > 0 ? 1 : 0;
    ++pending->attempts;
    http_message request;
    request.method = "POST";
    request.target = "/" + pending->target.operation;
    request.headers = {{"content-type", "application/json"},
                       {"cicadamux-service", pending->target.service},
                       {"cicadamux-operation", pending->target.operation},
                       {"cicadamux-context", pending->callContext}};
    request.body = formatPayload(pending->id);
    m_client.send(address, request, m_settings.callTimeout, [this, pending](const http_reply &reply) {
        onAttemptEnded(pending, reply);
    });
}

void backend_caller::onAttemptEnded(const std::shared_ptr<pending_call> &pending, const http_reply &reply)
{
    const bool isAnswer = reply.failure == http_failure::none;
    const std::string_view outcome = isAnswer ? headerOf(reply.message, "cicadamux-outcome") : "unknown";
    m_counters.callsNotRun += outcome == "not-run" ? 1 : 0;
    m_counters.callsUnknown += outcome == "unknown" ? 1 : 0;
    const bool isBackendAnswer = isAnswer && outcome != "not-run" && outcome != "unknown";
    const bool isWrong = isBackendAnswer && payloadId(reply.message.body) != pending->id;
    m_counters.wrongAnswers += isWrong ? 1 : 0;
    if (isBackendAnswer && reply.message.status == statusOk && !isWrong) {
        pending->handler(true);
        return;
    }
    if (pending->attempts <= m_settings.retries) {
        attempt(pending);
        return;
    }
    pending->handler(false);
}

std::string backend_caller::addressOf(const std::string &service)
{
    const auto found = m_settings.direct.find(service);
    if (found == m_settings.direct.end() || found->second.empty()) {
        return m_settings.localAddress;
    }
    return found->second[m_nextAddress++ % found->second.size()];
}

} // namespace cicadamux::test
