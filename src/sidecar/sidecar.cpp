/** @file sidecar.cpp A sidecar: owns its components and listeners, runs periodic work and the graceful stop. */

#include "sidecar/sidecar_base.h"

#include "core/invariant_func.h"
#include "core/socket_func.h"
#include "daemon/call_headers_func.h"
#include "daemon/settings_parts_func.h"
#include "http/http_endpoint_func.h"
#include "http/http_fields_func.h"
#include "http/http_status_type.h"
#include "operator/query_func.h"
#include "settings/settings_func.h"
#include "sidecar/local_response_func.h"

#include <limits>

namespace cicadamux
{

namespace
{
constexpr clock_ms tickPeriod{50}; ///< Upper bound on how late a queued call is refused.
constexpr clock_ms slowTickPeriod{200}; ///< For link probes and the upkeep of this host's entry in the store.
/** Bodies may take the memory limit divided by this: a body exists in the request, in a message and in socket buffers at the same time. */
constexpr std::size_t heldBytesDivisor = 6;
constexpr std::size_t failureHistoryCapacity = 256; ///< About 100 KB; at 60 failures a second it covers some seconds.
constexpr clock_ms logReportPeriod{1'000};
constexpr double noRateGauge = -1; ///< Value of `gate_max_rate` while the backend server states no rate.
constexpr clock_ms listenerCheckTime{500}; ///< For the system to tell whether the backend server still listens.
constexpr clock_ms maxLinkWait{2'000}; ///< Time for links to come up; after it the host is ready without them.
constexpr clock_ms idleMargin{1'000}; ///< Added to the idle time-out that callers know, so that the caller closes first.
constexpr clock_ms bodyTimeout{60'000}; ///< Time for a slow client to send its body.
constexpr clock_ms writeTimeout{60'000}; ///< Time for a slow client to read its response.
constexpr std::uint32_t pipelineDepth = 16; ///< Concurrent requests on one connection.

repeat_budget_settings budgetSettings(const fleet_bounds &bounds)
{
    repeat_budget_settings settings;
    settings.ratio = bounds.repeatRatio;
    settings.window = bounds.repeatWindow;
    settings.slack = 1;
    return settings;
}

/** @return Bytes that requests and responses may take together. */
std::size_t heldBytesLimit(std::uint32_t memoryMb)
{
    constexpr std::size_t megabyte = 1'000'000; // Bytes.
    return memoryMb == 0 ? std::numeric_limits<std::size_t>::max() : memoryMb * megabyte / heldBytesDivisor;
}
} // namespace

sidecar_core::sidecar_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, sidecar_adapter platformAdapter, clock_source bootClock)
    : context(ioContext)
    , settings(daemonSettings)
    , adapter(std::move(platformAdapter))
    , bounds(adapter.readBounds(settings.platformBounds))
    , incarnation{threadRandom()}
    , upstreams(routerSettingsOf(settings), threadRandom)
    , repeats(budgetSettings(bounds))
    , log(decision_log_settings{})
    , failures(failureHistoryCapacity)
    , heldBytes(std::make_shared<byte_budget>(heldBytesLimit(settings.memoryMb)))
    , stalls(std::move(bootClock), steadyNow)
    , reads(ioContext)
{
}

sidecar::sidecar(boost::asio::io_context &context, const daemon_settings &settings, const sidecar_adapter &adapter, clock_source bootClock)
    : m_context(context)
    , m_core(context, settings, adapter, std::move(bootClock))
    , m_store(adapter.makeStore(context, settings.platformAddress, storeOptions()))
    , m_gate(m_core)
    , m_directory(m_core, m_store, {settings.host, settings.dataCenter, settings.backendService, settings.peerAddress}, directoryHooks())
    , m_configuration(m_core,
                      m_store,
                      [this] {
                          configurationChanged();
                      })
    , m_departures(std::make_shared<departure_record>(context,
                                                      m_store,
                                                      settings.host,
                                                      [this](const departed_server &server) {
                                                          m_gate.departure(server.id, server.startedAt);
                                                          upstreamsChanged();
                                                      }))
    , m_entry(m_core, m_gate, m_directory)
    , m_timer(context)
    , m_startedAt(steadyNow())
    , m_lastTick(m_startedAt)
    , m_tickBeforeLast(m_startedAt)
{
    m_core.stalls.onStall([this](const stall &found) {
        handleStall(found);
    });
    m_gate.onServerLeaving([this] {
        m_departures->record({m_gate.server().id, m_gate.server().startedAt}, [] {});
        upstreamsChanged();
    });
}

sidecar::~sidecar() = default;

void sidecar::start()
{
    startListeners();
    m_configuration.start();
    m_directory.start();
    if (!m_core.settings.isFirstStart) { // This host's entry is no proof that it is new: the store may have come back from a copy.
        m_departures->start();
    }
    tick();
    logEvent(log_level::info,
             "sidecar_started",
             {{"data_center", m_core.settings.dataCenter},
              {"service", m_core.settings.backendService},
              {"incarnation", m_core.incarnation.value},
              {"outbound", m_core.settings.edgeAddress},
              {"links", m_core.settings.peerAddress}});
}

void sidecar::startListeners()
{
    const daemon_settings &settings = m_core.settings;
    m_links = std::make_unique<link_server>(m_context, settings.peerAddress, settings.maxBodyBytes + messageOverhead, linkHooks(), settings.fleetKey);
    const http_limits limits = listenerLimits(settings);
    const http_refusal_builder refusalBuilder = makeReadFailureResponse;
    m_ready = std::make_unique<http_server>(
        m_context,
        settings.readyAddress,
        limits,
        [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
            handleReady(request, exchange);
        },
        refusalBuilder);
    m_control = std::make_unique<http_server>(
        m_context,
        settings.localAddress,
        limits,
        [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
            handleControl(request, exchange);
        },
        refusalBuilder);
    m_metrics = std::make_unique<http_server>(
        m_context,
        settings.adminAddress,
        limits,
        [this](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
            if (request.target == "/query") {
                handleQuery(request, exchange);
            } else {
                handleMetrics(exchange);
            }
        },
        refusalBuilder);
    m_outbound = std::make_unique<http_server>(
        m_context,
        settings.edgeAddress,
        limits,
        [this](http_request request, const std::shared_ptr<http_exchange> &exchange) {
            m_entry.handle(std::move(request), exchange);
        },
        refusalBuilder);
    m_outbound->setBudget(m_core.heldBytes);
    m_ready->open();
    m_control->open();
    m_metrics->open();
    m_outbound->open();
}

link_server_hooks sidecar::linkHooks()
{
    link_server_hooks hooks;
    hooks.call = [this](link_call call, link_responder responder) {
        m_core.stalls.check();
        return m_gate.submit(std::move(call), std::move(responder));
    };
    hooks.report = [this] {
        return m_gate.fullReport();
    };
    hooks.configuration = [this] {
        return m_configuration.inForce();
    };
    hooks.configurationOffered = [this](const configuration_offer &offer) {
        m_configuration.receiveOffer(offer);
    };
    hooks.hostsIntroduced = [this](const host_introduction &hosts) {
        m_directory.receiveIntroduction(hosts);
    };
    hooks.statementReceived = [this](const server_statement &statement) {
        m_gate.adopt(statement);
    };
    return hooks;
}

host_directory_hooks sidecar::directoryHooks()
{
    host_directory_hooks hooks;
    hooks.changed = [this] {
        upstreamsChanged();
    };
    hooks.linkChanged = [this](const std::string &host, link_health health) {
        m_entry.linkChanged(host, health);
    };
    hooks.configurationOffered = [this](const configuration_offer &offer) {
        m_configuration.receiveOffer(offer);
    };
    hooks.configuration = [this] {
        return m_configuration.inForce();
    };
    hooks.remoteVersionSeen = [this](std::uint64_t version, const std::string &host) {
        m_configuration.noteRemoteVersion(version, host);
    };
    hooks.restarted = [this] {
        m_departures->start();
    };
    return hooks;
}

void sidecar::handleReady(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const
{
    http_response response;
    const bool isReadyQuery = request.target == m_core.adapter.readyPath;
    response.status = !isReadyQuery ? http_status::notFound : (isReady() ? http_status::ok : http_status::unavailable);
    exchange->respond(std::move(response));
}

void sidecar::handleControl(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    std::optional<server_message> message;
    try {
        message = m_core.adapter.readServerMessage(request);
    } catch (const decode_error &unreadable) {
        logEvent(log_level::warning, "heartbeat_unreadable", {{"target", request.target}, {"problem", unreadable.what()}});
        exchange->respond(makeJsonResponse(http_status::badRequest, R"({"error":"unreadable"})"));
        return;
    }
    if (!message) {
        exchange->respond(makeJsonResponse(http_status::notFound, R"({"error":"no_such_call"})"));
        return;
    }
    handleServerMessage(*message, exchange);
}

/** Applies a heartbeat or a departure. A departure is stored before it is acknowledged, as long as the store answers. */
void sidecar::handleServerMessage(const server_message &message, const std::shared_ptr<http_exchange> &exchange)
{
    const server_announcement &announced = message.announcement;
    if (message.isDeparture) {
        m_gate.departure(announced.id, announced.startedAt);
        upstreamsChanged();
    } else if (m_gate.heartbeat(announced) == heartbeat_verdict::foreign) {
        logEvent(log_level::warning, "heartbeat_foreign", {{"server", announced.id}, {"service", announced.service}, {"address", announced.address}});
        exchange->respond(makeJsonResponse(http_status::badRequest, R"({"error":"foreign_server"})"));
        return;
    } else if (m_gate.server().state != m_gateState) {
        upstreamsChanged();
    }
    auto acknowledge = [exchange] {
        exchange->respond(makeJsonResponse(http_status::ok, "{}"));
    };
    const known_server &server = m_gate.server();
    const bool isKnown = announced.id == server.id && (!announced.startedAt || *announced.startedAt == server.startedAt);
    const bool hasLeft = message.isDeparture || server.state == server_state::draining;
    if (isKnown && hasLeft) {
        m_departures->record({server.id, server.startedAt}, std::move(acknowledge));
    } else if (message.isDeparture && server.id.empty()) { // This sidecar has restarted since the server's last heartbeat.
        m_departures->record({announced.id, announced.startedAt}, std::move(acknowledge));
    } else {
        acknowledge();
    }
}

void sidecar::handleMetrics(const std::shared_ptr<http_exchange> &exchange)
{
    const host_report report = m_gate.report();
    m_core.metrics.setGauge("gate_limit", report.limit);
    m_core.metrics.setGauge("gate_in_use", report.inUse);
    m_core.metrics.setGauge("gate_waiting", report.waiting);
    m_core.metrics.setGauge("gate_max_rate", report.statement.maxRate.value_or(noRateGauge));
    m_core.metrics.setGauge("server_leaving", report.statement.leaving ? 1 : 0);
    m_core.metrics.setGauge("requests_open", static_cast<double>(m_entry.openCount()));
    m_core.metrics.setGauge("held_bytes", static_cast<double>(m_core.heldBytes->used()));
    m_core.metrics.setGauge("hosts_known", static_cast<double>(m_directory.hostCount()));
    m_core.metrics.setGauge("configuration_version", static_cast<double>(report.configurationVersion));
    http_response response;
    response.headers.push_back({"content-type", "text/plain; version=0.0.4"});
    response.body = m_core.metrics.exposition();
    exchange->respond(std::move(response));
}

void sidecar::handleQuery(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const
{
    const std::optional<std::string> line = readQueryBody(request.body);
    const query_result result = line ? answerSidecarQuery(*line, view()) : malformedQueryBody();
    exchange->respond(makeJsonResponse(http_status::ok, formatResultJson(result)));
}

sidecar_view sidecar::view() const
{
    sidecar_view view;
    view.host = m_core.settings.host;
    view.configuration = m_core.routes.version();
    view.routes = view.configuration == 0 ? 0 : m_core.routes.current()->routes.size();
    view.own = m_gate.report();
    view.hosts = m_directory.remoteHosts();
    view.requests = &m_core.failures;
    view.now = wallNow();
    return view;
}

bool sidecar::isReady() const
{
    const bool hasJoined = !m_directory.upstreams(steadyNow()).empty() || steadyNow() - m_startedAt > maxLinkWait;
    return !m_core.stop && m_core.routes.version() > 0 && hasJoined;
}

void sidecar::configurationChanged()
{
    m_outbound->setLimits(outboundLimits());
}

/** Settings bound all listeners; the configuration bounds what clients may send, once there is one. */
http_limits sidecar::outboundLimits() const
{
    http_limits limits = listenerLimits(m_core.settings);
    if (m_core.routes.version() == 0) {
        return limits;
    }
    const entry_limits &configured = m_core.routes.current()->limits;
    limits.maxHeaderBytes = configured.maxHeaderBytes;
    limits.maxBodyBytes = configured.maxBodyBytes;
    limits.requestTimeout = configured.headerTimeout;
    limits.bodyTimeout = bodyTimeout;
    limits.writeTimeout = writeTimeout;
    limits.idleTimeout = configured.idleTimeout + idleMargin;
    limits.maxPipelined = pipelineDepth;
    return limits;
}

fleet_bounds sidecar::readBounds(const daemon_settings &fresh) const
{
    try {
        return m_core.adapter.readBounds(fresh.platformBounds);
    } catch (const decode_error &unreadable) {
        throw settings_error({{"platform.bounds", unreadable.what(), "bounds in the format of the platform"}});
    }
}

void sidecar::applySettings(const daemon_settings &fresh)
{
    const fleet_bounds bounds = readBounds(fresh);
    const std::vector<setting_change> changes = compareSettings(m_core.settings, fresh);
    std::string live;
    std::string restart;
    for (const setting_change &change : changes) {
        std::string &list = change.isLive ? live : restart;
        list += (list.empty() ? "" : ",") + std::string(change.path);
    }
    const std::string storeAddress = m_core.settings.platformAddress;
    m_core.settings = withLiveSettings(m_core.settings, fresh);
    m_core.bounds = bounds;
    applyLimits();
    if (m_core.settings.platformAddress != storeAddress) {
        replaceStore();
    }
    logEvent(log_level::info, "settings_applied", {{"live", live}, {"need_restart", restart}});
}

void sidecar::applyLimits()
{
    setUpLog(m_core.settings.host, m_core.settings.logFile, m_core.settings.logLevel);
    m_core.heldBytes->setLimit(heldBytesLimit(m_core.settings.memoryMb));
    m_core.repeats.setBound(m_core.bounds.repeatRatio, m_core.bounds.repeatWindow);
    m_gate.applySettings();
    for (http_server *listener : {m_ready.get(), m_control.get(), m_metrics.get()}) {
        listener->setLimits(listenerLimits(m_core.settings));
    }
    m_outbound->setLimits(outboundLimits());
    upstreamsChanged();
}

/** The directory may be old: watches catch up, and a host that is gone shows by its link. The configuration and departures may not. */
store_options sidecar::storeOptions()
{
    store_options options;
    options.staleKinds = {std::string(hostDirectoryKind)};
    options.restored = [this](std::uint64_t era) {
        handleStoreRestored(era);
    };
    return options;
}

/** What was read counts for nothing: the same revisions now stand for other changes. */
void sidecar::handleStoreRestored(std::uint64_t era)
{
    logEvent(log_level::warning,
             "store_restored",
             {{"era", era}, {"configuration", m_core.routes.version()}, {"hosts", static_cast<std::uint64_t>(m_directory.hostCount())}});
    m_configuration.refresh();
    m_directory.refresh();
    m_departures->repeat();
}

void sidecar::replaceStore()
{
    m_store.replace(m_core.adapter.makeStore(m_context, m_core.settings.platformAddress, storeOptions()));
    m_configuration.refresh();
    m_directory.refresh();
    m_departures->repeat(); // It may hold other contents.
}

void sidecar::upstreamsChanged()
{
    const clock_ms now = steadyNow();
    std::vector<upstream> upstreams = m_directory.upstreams(now);
    const known_server &server = m_gate.server();
    if (std::exchange(m_gateState, server.state) != server.state) {
        m_links->announce(m_gate.report());
    }
    upstream own;
    own.service = m_core.settings.backendService;
    own.host = m_core.settings.host;
    own.dataCenter = m_core.settings.dataCenter;
    own.peerAddress = m_core.settings.peerAddress;
    own.incarnation = m_core.incarnation;
    own.slots = std::max<std::uint32_t>(1, server.slots);
    own.draining = server.state != server_state::serving;
    own.servingSince = now - m_core.settings.slowStart;
    upstreams.push_back(std::move(own));
    m_core.upstreams.setUpstreams(upstreams, now);
    m_core.repeats.setSlack(m_core.bounds.repeatSlack / static_cast<double>(m_directory.hostCount()) / 2);
}

void sidecar::tick()
{
    m_timer.expires_after(detail::toChrono(tickPeriod));
    m_timer.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick();
        }
    });
    runPeriodicWork();
}

void sidecar::runPeriodicWork()
{
    const clock_ms now = steadyNow();
    m_tickBeforeLast = std::exchange(m_lastTick, now);
    m_core.reads.tick();
    m_core.stalls.tick();
    m_gate.tick();
    if (m_gate.server().state != m_gateState) {
        upstreamsChanged();
    }
    if (now - m_slowTickAt >= slowTickPeriod) {
        m_slowTickAt = now;
        slowTick(now);
    }
    if (m_core.stop) {
        m_core.reads.pass([this] {
            stopTick();
        });
    }
    flushLog();
}

/** Gives up what relies on a time limit from before the stall: callers have gone on meanwhile. */
void sidecar::handleStall(const stall &found)
{
    logEvent(log_level::warning,
             "host_stalled",
             {{"for_ms", found.length.count},
              {"uncounted_ms", found.uncounted.count},
              {"requests", static_cast<std::uint64_t>(m_entry.openCount())},
              {"calls", static_cast<std::uint64_t>(m_gate.callCount())}});
    if (m_core.stop) {
        m_core.stop->bringForward(found.uncounted);
    }
    m_core.reads.noticeStall(found.length); // The steady clock may have missed it.
    m_gate.handleStall(found);
    m_entry.handleStall(found);
}

void sidecar::onSlowTick(std::function<void(clock_ms now)> hook)
{
    m_slowTickHook = std::move(hook);
}

void sidecar::slowTick(clock_ms now)
{
    if (m_slowTickHook) {
        m_slowTickHook(now);
    }
    m_directory.tick(now);
    const std::string host = m_configuration.hostToAsk(now);
    if (const auto link = host.empty() ? nullptr : m_directory.find(host)) {
        link->requestConfiguration(m_core.routes.version());
    }
    if (now - m_reportedAt >= logReportPeriod) {
        m_reportedAt = now;
        m_core.log.reportDropped();
    }
}

void sidecar::drain(std::function<void()> done)
{
    if (m_core.stop) {
        return;
    }
    const clock_ms unnoticed = unnoticedTime();
    logEvent(log_level::info,
             "sidecar_leaving",
             {{"requests", static_cast<std::uint64_t>(m_entry.openCount())},
              {"calls", static_cast<std::uint64_t>(m_gate.callCount())},
              {"unnoticed_ms", unnoticed.count}});
    m_core.stop.emplace(steadyNow(), unnoticed, m_core.bounds.grace);
    m_links->announce(m_gate.report());
    m_stopped = std::move(done);
    if (m_gate.server().state == server_state::absent && !m_gate.server().id.empty()) {
        m_directory.leave();
        removeDepartureOfEnded();
    }
}

/** @return Greatest time for which a signal that is noticed now may have waited; after a stall the event loop runs a tick before it. */
clock_ms sidecar::unnoticedTime()
{
    m_core.stalls.check();
    return std::max(steadyNow() - m_tickBeforeLast, m_core.stalls.maxUnreadTime());
}

/** A server that has left may go on serving, and this sidecar may start again beside it: the record goes only if the server has ended. */
void sidecar::removeDepartureOfEnded()
{
    if (m_gate.callCount() > 0) {
        return;
    }
    const auto address = detail::parseEndpoint(m_core.settings.backendAddress);
    checkRefused(m_context, address, listenerCheckTime, [departures = m_departures, server = m_gate.server().id](bool isRefused) {
        logEvent(log_level::info, "departure_checked", {{"server", server}, {"has_ended", isRefused}});
        if (isRefused) {
            departures->remove();
        }
    });
}

void sidecar::stopTick()
{
    stop_step step = stop_step::wait;
    do {
        step = m_core.stop->next(steadyNow(), openWork());
        takeStep(step);
    } while (step != stop_step::wait);
}

open_work sidecar::openWork() const
{
    open_work open;
    open.requests = m_entry.openCount();
    open.calls = m_gate.callCount();
    open.answers = m_outbound->unwritten();
    open.connections = m_outbound->connections();
    open.links = m_links->count();
    open.linkBytes = m_links->backlog();
    return open;
}

void sidecar::takeStep(stop_step step)
{
    if (step != stop_step::wait) {
        logStep(step);
    }
    switch (step) {
    case stop_step::wait:
        break;
    case stop_step::close_connections:
        m_outbound->close();
        break;
    case stop_step::end_blocking:
        m_entry.endBlocking();
        break;
    case stop_step::end_requests:
        m_entry.endAll();
        break;
    case stop_step::finish_links:
        m_links->finishSending();
        break;
    case stop_step::end_process:
        if (const auto done = std::exchange(m_stopped, nullptr)) {
            done();
        }
        break;
    }
}

void sidecar::logStep(stop_step step) const
{
    const open_work open = openWork();
    logEvent(log_level::info,
             step == stop_step::end_process ? "sidecar_quiet" : "stop_step",
             {{"step", toString(step)},
              {"waited_ms", m_core.stop->elapsed(steadyNow()).count},
              {"requests", static_cast<std::uint64_t>(open.requests)},
              {"calls", static_cast<std::uint64_t>(open.calls)},
              {"unwritten", static_cast<std::uint64_t>(open.answers)},
              {"connections", static_cast<std::uint64_t>(open.connections)},
              {"link_bytes", static_cast<std::uint64_t>(open.linkBytes)}});
}

void sidecar::stop()
{
    m_timer.cancel();
    m_core.reads.cancel();
    m_configuration.stop();
    m_directory.stop();
    m_departures->stop();
    if (m_links) {
        m_links->stop();
    }
    for (http_server *listener : {m_outbound.get(), m_control.get(), m_ready.get(), m_metrics.get()}) {
        if (listener != nullptr) { // After a failed start only some of them exist.
            listener->close();
        }
    }
}

} // namespace cicadamux
