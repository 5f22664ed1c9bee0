/** @file daemon_operator.cpp Access to a daemon for operators' queries. */

#include "daemon/call_headers_func.h"
#include "daemon/daemon_base.h"
#include "http/http_status_type.h"
#include "operator/query_func.h"

namespace cicadamux
{

namespace
{

/** Runs an action after a delay; the timer lives until then. */
void scheduleOn(boost::asio::io_context &context, clock_ms delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context);
    timer->expires_after(std::chrono::milliseconds(delay.count));
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code cancelled) {
        if (!cancelled) {
            action();
        }
    });
}
} // namespace

void daemon_process::handleQuery(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    runQueryBody(request.body, m_operatorHooks, [exchange](std::string json) {
        exchange->respond(makeJsonResponse(http_status::ok, std::move(json)));
    });
}

std::shared_ptr<const operator_hooks> daemon_process::makeOperatorHooks()
{
    const auto hooks = std::make_shared<operator_hooks>();
    hooks->host = m_core.settings.host;
    hooks->dataCenter = m_core.settings.dataCenter;
    hooks->wallNow = wallNow;
    hooks->steadyNow = steadyNow;
    hooks->random = secureRandom;
    hooks->refusals = &m_refusals;
    hooks->platform = m_platform.get();
    fillStateHooks(*hooks);
    fillActionHooks(*hooks);
    return hooks;
}

void daemon_process::fillStateHooks(operator_hooks &hooks)
{
    hooks.view = [this] {
        return m_fleet->view();
    };
    hooks.dataCenters = [this] {
        return m_dataCenters.names(steadyNow());
    };
    hooks.upstreams = [this] {
        return m_core.routes.states(steadyNow());
    };
    hooks.gate = [this]() -> std::optional<gate_snapshot> {
        if (m_backend.current()->state == server_state::absent) {
            return std::nullopt;
        }
        return m_gate.snapshot(steadyNow());
    };
    hooks.policies = [this] {
        return m_core.policies.load();
    };
    hooks.generations = [this] {
        return m_fleet->config().generations();
    };
    hooks.configurationDigest = [this] {
        return m_fleet->config().digest();
    };
}

void daemon_process::fillActionHooks(operator_hooks &hooks)
{
    hooks.applyConfiguration = [this](const configuration_object &object) {
        return m_fleet->config().offer(object);
    };
    hooks.queryDaemon = [this](const member_record &member, const std::string &query, clock_ms timeLimit, daemon_reply_handler handler) {
        m_core.peers.ask(member.peerAddress, query, timeLimit, std::move(handler));
    };
    hooks.schedule = [this](clock_ms delay, std::function<void()> action) {
        scheduleOn(m_context, delay, std::move(action));
    };
    hooks.setDraining = [this](bool draining) {
        m_backend.setDraining(draining);
    };
}

} // namespace cicadamux
