/** @file daemon_process.cpp The daemon: construction, wiring of its components, and graceful shutdown. */

#include "core/log_func.h"
#include "daemon/call_headers_func.h"
#include "daemon/daemon_base.h"
#include "daemon/settings_parts_func.h"
#include "http/http_status_type.h"
#include "operator/query_func.h"
#include "store/store_http_func.h"

#include <boost/asio/post.hpp>

namespace cicadamux
{

namespace
{
constexpr std::int64_t exchangeTimeout = 2'000; ///< Milliseconds.
constexpr std::int64_t leaveNoticePeriod = 1'000; ///< Milliseconds to let gossip spread the departure; calls that arrive meanwhile are refused as not run.
constexpr std::int64_t idlePollInterval = 20; ///< Milliseconds.
constexpr std::int64_t shutdownGrace = 500; ///< Milliseconds in which the peer listener may finish its replies.

std::unique_ptr<object_store> makePlatform(boost::asio::io_context &context, const daemon_settings &settings)
{
    if (settings.platformAddress.empty()) {
        return nullptr;
    }
    store_http_settings storeSettings;
    storeSettings.address = settings.platformAddress;
    storeSettings.timeout = settings.platformTimeout;
    storeSettings.callsPerMinute = settings.platformCallsPerMinute;
    return makeStoreHttpClient(context, storeSettings);
}
} // namespace

daemon_process::daemon_process(boost::asio::io_context &context, const daemon_settings &settings)
    : m_context(context)
    , m_platform(makePlatform(context, settings))
    , m_core(context, settings, incarnation_id{static_cast<std::uint64_t>(wallNow().count)})
    , m_backend(context,
                m_core.settings,
                [this](const backend_server &before, const backend_server &after) {
                    backendChanged(before, after);
                })
    , m_gate(m_core,
             m_backend,
             [this](const call_request &request, const gate_decision &decision, const gate_snapshot &gate) {
                 gateRefused(request, decision, gate);
             })
    , m_dispatcher(m_core, m_gate)
    , m_entry(m_core,
              m_dispatcher,
              m_backend,
              [this](const call_request &request, const refusal_detail &detail) {
                  entryRefused(request, detail);
              })
    , m_gateTimer(context)
    , m_housekeepingTimer(context)
    , m_drainTimer(context)
    , m_refusals(settings.refusalRecords, wallNow())
{
}

daemon_process::~daemon_process() = default;

void daemon_process::start()
{
    startFleet();
    m_operatorHooks = makeOperatorHooks();
    startListeners();
    m_local->open();
    m_admin->open();
    m_fleet->start();
    gateTick();
    housekeepingTick();
    logEvent(log_level::info, "daemon_started", {{"data_center", m_core.settings.dataCenter}, {"incarnation", m_core.incarnation.value}});
}

void daemon_process::startFleet()
{
    m_fleet = std::make_unique<fleet>(m_context, m_core.settings, m_core.incarnation, m_platform.get(), makeFleetHooks());
}

fleet_hooks daemon_process::makeFleetHooks()
{
    fleet_hooks hooks;
    hooks.viewChanged = [this](const std::shared_ptr<const std::vector<member_record>> &view) {
        viewChanged(*view);
    };
    hooks.policyChanged = [this](const std::shared_ptr<const policy_set> &policies) {
        policyChanged(policies);
    };
    hooks.exchange = [this](const std::string &address, const exchange_request &request, exchange_handler handler) {
        m_core.peers.exchange(address, request, clock_ms{exchangeTimeout}, std::move(handler));
    };
    return hooks;
}

void daemon_process::startListeners()
{
    const daemon_settings &settings = m_core.settings;
    const http_limits limits = listenerLimits(settings);
    const auto refusalBuilder = [this](http_read_failure failure) {
        return m_entry.makeReadFailureResponse(failure);
    };
    m_peerServer = std::make_unique<peer_server>(settings.peerAddress, settings.maxBodyBytes + messageOverhead, peerHooks());
    const auto local = [this](http_request request, std::shared_ptr<http_exchange> exchange) {
        m_entry.handleLocal(std::move(request), std::move(exchange));
    };
    m_local = std::make_unique<http_server>(m_context, settings.localAddress, limits, local, refusalBuilder);
    const auto admin = [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
        handleAdmin(request, exchange);
    };
    m_admin = std::make_unique<http_server>(m_context, settings.adminAddress, limits, admin, refusalBuilder);
    if (!settings.edgeAddress.empty()) {
        const auto edge = [this](http_request request, std::shared_ptr<http_exchange> exchange) {
            m_entry.handleEdge(std::move(request), std::move(exchange));
        };
        m_edge = std::make_unique<http_server>(m_context, settings.edgeAddress, limits, edge, refusalBuilder);
    }
}

peer_server_hooks daemon_process::peerHooks()
{
    peer_server_hooks hooks;
    hooks.call = [this](peer_call call, const std::function<void(peer_reply)> &handler) {
        return m_gate.handle(std::move(call), handler);
    };
    hooks.voidTicket = [this](std::string_view text) {
        return voidTicketHere(m_core, text);
    };
    hooks.exchange = [this](const exchange_request &request) {
        return m_fleet->answerExchange(request);
    };
    hooks.ask = [this](const std::string &query, clock_ms, const std::function<void(std::string)> &handler) {
        handler(answerAsk(query, *m_operatorHooks));
    };
    return hooks;
}

void daemon_process::policyChanged(const std::shared_ptr<const policy_set> &policies)
{
    m_core.policies.publish(policies);
    m_gate.setRanks(policies->ranks());
}

void daemon_process::viewChanged(const std::vector<member_record> &view)
{
    const std::lock_guard lock(m_viewMutex);
    const clock_ms now = steadyNow();
    m_dataCenters.recordView(view, now);
    m_core.routes.setUpstreams(m_upstreams.update(view, now), now);
}

void daemon_process::backendChanged(const backend_server &before, const backend_server &after)
{
    m_gate.backendChanged(before, after);
    m_fleet->setServer(after.service, after.state, after.slots);
}

void daemon_process::gateRefused(const call_request &request, const gate_decision &decision, const gate_snapshot &gate)
{
    refusal_detail detail = makeRefusalDetail(m_core, decision.reason, request.service, request.operation);
    detail.rankAdmitted = decision.rankAdmitted;
    recordRefusal(request, detail, &decision, &gate);
}

void daemon_process::entryRefused(const call_request &request, const refusal_detail &detail)
{
    recordRefusal(request, detail, nullptr, nullptr);
}

void daemon_process::recordRefusal(const call_request &request, const refusal_detail &detail, const gate_decision *decision, const gate_snapshot *gate)
{
    refusal_record record;
    record.root = request.context.root;
    record.service = request.service;
    record.operation = request.operation;
    record.callClass = request.context.callClass;
    record.rank = request.context.rank;
    record.reason = detail.reason;
    record.rankAdmitted = detail.rankAdmitted;
    record.host = detail.host;
    record.dataCenter = detail.dataCenter;
    if (decision != nullptr && gate != nullptr) {
        record.waited = decision->waited;
        record.queueLength = gate->waiting;
        record.limit = gate->limit;
    }
    m_refusals.add(std::move(record), wallNow());
}

void daemon_process::handleAdmin(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (request.target == "/metrics") {
        updateGauges(steadyNow());
        http_response response;
        response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
        response.body = m_core.metrics.exposition();
        exchange->respond(std::move(response));
    } else if (request.target == "/ready") {
        const bool ready = isReady();
        exchange->respond(makeJsonResponse(ready ? http_status::ok : http_status::unavailable, ready ? R"({"ready":true})" : R"({"ready":false})"));
    } else if (request.target == "/query" && request.method == "POST") {
        handleQuery(request, exchange);
    } else {
        exchange->respond(makeJsonResponse(http_status::notFound, R"({"error":"no_such_page"})"));
    }
}

bool daemon_process::isReady() const
{
    return !m_core.stopping && !m_core.policies.load()->ranks().empty();
}

bool daemon_process::isIdle() const
{
    return m_core.dispatched == 0 && m_gate.calls() == 0;
}

void daemon_process::drain(std::function<void()> done)
{
    logEvent(log_level::info, "daemon_leaving", {{"in_flight", static_cast<std::uint64_t>(m_gate.calls())}});
    m_core.stopping = true;
    m_fleet->leave();
    m_gate.drain();
    if (m_edge) {
        m_edge->drain();
    }
    waitUntilIdle(steadyNow(), std::move(done));
}

void daemon_process::waitUntilIdle(clock_ms since, std::function<void()> done)
{
    const clock_ms waited = steadyNow() - since;
    const bool noticePassed = waited >= clock_ms{leaveNoticePeriod};
    if ((noticePassed && isIdle()) || waited >= m_core.settings.stopTimeout) {
        logEvent(log_level::info, "daemon_quiet", {{"waited_ms", waited.count}, {"in_flight", static_cast<std::uint64_t>(m_gate.calls())}});
        done();
        return;
    }
    m_drainTimer.expires_after(std::chrono::milliseconds(idlePollInterval));
    m_drainTimer.async_wait([this, since, done = std::move(done)](boost::system::error_code cancelled) mutable {
        if (!cancelled) {
            waitUntilIdle(since, std::move(done));
        }
    });
}

void daemon_process::stop()
{
    m_stopped = true;
    m_peerServer->stop(clock_ms{shutdownGrace});
    m_fleet->stop();
    m_core.peers.stop();
    if (m_edge) {
        m_edge->close();
    }
    m_local->close();
    m_admin->close();
    m_gateTimer.cancel();
    m_housekeepingTimer.cancel();
}

} // namespace cicadamux
