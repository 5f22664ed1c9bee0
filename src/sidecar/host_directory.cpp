/** @file host_directory.cpp Discovers the other hosts through the store and keeps a link to each. */

#include "sidecar/host_directory_base.h"

#include "http/http_endpoint_func.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cicadamux
{

namespace json = boost::json;

namespace
{
constexpr clock_ms watchTimeout{30'000}; ///< The platform's maximum; entries change rarely, and each watch is charged.
constexpr clock_ms startupWatchPause{1'200}; ///< Before the next watch, during startupPeriod: hosts that start together write their entries within a second.
constexpr clock_ms steadyWatchPause{2'500}; ///< The same after startupPeriod: batches a series of hosts that join or leave into few watches of each other host.
constexpr clock_ms startupPeriod{3'000}; ///< After this host's start: time in which hosts that start with it write their entries.
constexpr clock_ms introductionDelay{600}; ///< By then a starting host has usually got its configuration from the store.
constexpr clock_ms introductionInterval{1'000}; ///< Minimum time between introductions to the same host.
constexpr std::uint64_t meanIntroducers = 4; ///< Mean number of hosts that introduce the fleet to a starting host; more than one, since a message may be lost.
constexpr clock_ms removalDelay{60'000}; ///< Time without a link after which a host's entry is removed; a live host writes it again.
constexpr double minReachableShare = 0.5; ///< With fewer hosts reachable, this host assumes that it is itself cut off and removes no entries.
constexpr clock_ms minProbePeriod{1'000};
constexpr clock_ms maxProbePeriod{5'000}; ///< A link that carries no calls is found dead after this and the time-out of a probe.
constexpr std::int64_t probesPerSecond = 40; ///< Probes of this host to all others together, as long as the bounds on the period allow it.
constexpr clock_ms writeRetryDelay{700}; ///< Minimum time between writes of this host's entry.

std::string readText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(json::string_view(key.data(), key.size()));
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}
} // namespace

std::string formatHostEntry(const host_entry &entry)
{
    json::object object;
    object["host"] = entry.host;
    object["data_center"] = entry.dataCenter;
    object["service"] = entry.service;
    object["link_address"] = entry.linkAddress;
    return json::serialize(object);
}

std::optional<host_entry> parseHostEntry(const std::string &text)
{
    boost::system::error_code failure;
    const json::value value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const host_entry entry{readText(object, "host"), readText(object, "data_center"), readText(object, "service"), readText(object, "link_address")};
    if (entry.host.empty() || !detail::isEndpoint(entry.linkAddress)) {
        return std::nullopt;
    }
    return entry;
}

host_directory::host_directory(sidecar_core &core, object_store &store, host_entry own, host_directory_hooks hooks)
    : m_core(core)
    , m_store(store)
    , m_own(std::move(own))
    , m_hooks(std::move(hooks))
{
    object_mirror_settings settings;
    settings.kind = hostDirectoryKind;
    settings.wait = watchTimeout;
    settings.pause = startupWatchPause;
    auto changed = [this](const std::map<std::string, stored_object> &objects) {
        applyEntries(objects);
    };
    m_mirror = std::make_shared<object_mirror>(core.context, store, settings, std::move(changed), threadRandom);
}

void host_directory::start()
{
    m_startedAt = steadyNow();
    m_mirror->start();
}

void host_directory::refresh()
{
    m_mirror->refresh();
}

void host_directory::applyEntries(const std::map<std::string, stored_object> &objects)
{
    const bool isFirst = !std::exchange(m_hasListing, true);
    std::map<std::string, host_entry> entries;
    for (const auto &[name, object] : objects) {
        const std::optional<host_entry> entry = parseHostEntry(object.value);
        if (!entry || entry->host != name) {
            logEvent(log_level::warning, "host_entry_unreadable", {{"object", name}, {"version", object.version}});
            continue;
        }
        entries.emplace(name, *entry);
    }
    const auto own = objects.find(m_own.host);
    m_ownVersion = own == objects.end() ? 0 : own->second.version;
    if (isFirst && m_ownVersion != 0) {
        m_hooks.restarted();
    }
    m_ownIsCurrent = entries.contains(m_own.host) && entries[m_own.host] == m_own;
    if (m_isLeaving) {
        leave(); // The store has come back from a copy that still has the entry.
    }
    entries.erase(m_own.host);
    m_entries = std::move(entries);
    removeUnlisted();
    addListed();
    setProbePeriods();
    m_hooks.changed();
    writeOwnEntry(steadyNow());
}

/**
 * Forgets the hosts that the store doesn't list any more, or at another address. A link that is up proves that its host
 * lives, whatever the store says, which may have come back from a copy: it is kept until it breaks.
 */
void host_directory::removeUnlisted()
{
    for (auto known = m_hosts.begin(); known != m_hosts.end();) {
        const auto found = m_entries.find(known->first);
        if (found != m_entries.end() && found->second.linkAddress == known->second.entry.linkAddress) {
            known->second.entry = found->second;
            ++known;
            continue;
        }
        if (known->second.link->health() != link_health::down) {
            ++known;
            continue;
        }
        logEvent(log_level::info, "host_removed", {{"peer", known->first}, {"address", known->second.entry.linkAddress}});
        const std::shared_ptr<host_link> link = known->second.link;
        known = m_hosts.erase(known);
        link->stop();
    }
}

void host_directory::addListed()
{
    for (const auto &[name, entry] : m_entries) {
        if (!m_hosts.contains(name)) {
            add(entry);
        }
    }
}

/** Keeps the cost of probes of one host flat while the fleet grows. */
void host_directory::setProbePeriods()
{
    constexpr std::int64_t second = 1'000; // Milliseconds.
    const clock_ms byCount{static_cast<std::int64_t>(m_hosts.size()) * second / probesPerSecond};
    m_probePeriod = std::clamp(byCount, minProbePeriod, maxProbePeriod);
    for (const auto &[host, known] : m_hosts) {
        setProbePeriod(known);
    }
}

/** A host without a configuration is probed often, since its reports tell whether it needs an introduction. */
void host_directory::setProbePeriod(const known_host &known) const
{
    const bool isConfigured = !known.report || known.report->configurationVersion > 0;
    known.link->setProbePeriod(isConfigured ? m_probePeriod : minProbePeriod);
}

/** One host that falls silent may mean that its data centre is cut off, so the others there are probed without waiting for their turn. */
void host_directory::probeDataCenter(std::string_view dataCenter)
{
    const clock_ms now = steadyNow();
    for (const auto &[host, known] : m_hosts) {
        if (known.entry.dataCenter == dataCenter) {
            known.link->probeNow(now);
        }
    }
}

void host_directory::add(const host_entry &entry)
{
    logEvent(log_level::info, "host_found", {{"peer", entry.host}, {"address", entry.linkAddress}, {"service", entry.service}});
    host_link_hooks hooks;
    hooks.reported = [this, host = entry.host](const host_report &report) {
        handleReport(host, report);
    };
    hooks.configurationOffered = m_hooks.configurationOffered;
    hooks.changed = [this, host = entry.host](bool isUp, std::string_view why) {
        handleLinkChange(host, isUp, why);
    };
    known_host &known = m_hosts[entry.host];
    known.entry = entry;
    host_link_settings settings;
    settings.key = m_core.settings.fleetKey;
    known.link = std::make_shared<host_link>(m_core.context, entry.linkAddress, settings, std::move(hooks));
    known.removeAt = drawRemovalTime();
    known.link->start();
}

void host_directory::handleLinkChange(const std::string &host, bool isUp, std::string_view why)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    found->second.report.reset();
    found->second.runs.clear();
    m_isLinkLost = m_isLinkLost || !isUp;
    logEvent(isUp ? log_level::info : log_level::warning, isUp ? "link_up" : "link_down", {{"peer", host}, {"why", why}});
    updateHealth(host, found->second);
    m_hooks.changed();
}

void host_directory::handleReport(const std::string &host, const host_report &report)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    known_host &known = found->second;
    const bool isNew = !known.report || known.report->incarnation != report.incarnation || known.report->server != report.server
        || known.report->leaving != report.leaving || known.report->limit != report.limit || known.report->statement.server != report.statement.server;
    if (!known.report || known.report->server != report.server) {
        known.servingSince = steadyNow();
    }
    shareStatement(known, report.statement);
    const bool wasConfigured = !known.report || known.report->configurationVersion > 0;
    known.report = report;
    if (wasConfigured != (report.configurationVersion > 0)) {
        setProbePeriod(known);
    }
    if (!report.runs.empty()) {
        known.runs.clear();
        for (const route_run &run : report.runs) {
            known.runs[run.route] = static_cast<double>(run.mean.count);
        }
    }
    updateHealth(host, known);
    if (isNew) {
        logEvent(log_level::info,
                 "host_reported",
                 {{"peer", host},
                  {"server", toString(report.server)},
                  {"leaving", report.leaving},
                  {"limit", report.limit},
                  {"configuration", report.configurationVersion}});
        m_hooks.changed();
    }
    if (report.configurationVersion > m_core.routes.version()) {
        m_hooks.remoteVersionSeen(report.configurationVersion, host);
    }
    if (report.configurationVersion > 0) {
        known.unconfiguredSince.reset();
    } else if (m_core.routes.version() > 0) {
        introduceIfDue(known, steadyNow());
    }
}

/** Remembers what a host reports of its backend server, and tells it what it has forgotten in a restart, ahead of any call. */
void host_directory::shareStatement(const known_host &known, const server_statement &reported)
{
    if (reported.isHeard || reported.leaving) {
        m_servers.record(reported);
    }
    const server_statement *remembered = m_servers.find(reported.server);
    if (remembered == nullptr) {
        return;
    }
    const bool hasForgottenRate = remembered->maxRate && !reported.isHeard && (!reported.maxRate || *reported.maxRate > *remembered->maxRate);
    if (hasForgottenRate || (remembered->leaving && !reported.leaving)) {
        logEvent(
            log_level::info,
            "server_statement_shared",
            {{"peer", known.entry.host}, {"max_rate", remembered->maxRate ? std::to_string(*remembered->maxRate) : "none"}, {"leaving", remembered->leaving}});
        known.link->sendStatement(*remembered);
    }
}

/**
 * A host that starts while the store is unavailable knows neither a configuration nor other hosts, but the hosts that
 * connect to it do. A few of them, chosen at random, send both; more would only send the same again.
 */
void host_directory::introduceIfDue(known_host &known, clock_ms now)
{
    if (!known.unconfiguredSince) {
        known.unconfiguredSince = now;
    }
    const bool isDue = now - *known.unconfiguredSince >= introductionDelay && now - known.introducedAt >= introductionInterval;
    if (isDue && threadRandom() % hostCount() < meanIntroducers) {
        known.introducedAt = now;
        sendIntroduction(known);
    }
}

void host_directory::sendIntroduction(const known_host &known)
{
    host_introduction hosts;
    hosts.entries.push_back(formatHostEntry(m_own));
    for (const auto &[name, other] : m_hosts) {
        hosts.entries.push_back(formatHostEntry(other.entry));
    }
    logEvent(log_level::info, "host_introduced", {{"peer", known.entry.host}, {"hosts", static_cast<std::uint64_t>(hosts.entries.size())}});
    known.link->sendIntroduction(m_hooks.configuration(), std::move(hosts));
}

void host_directory::receiveIntroduction(const host_introduction &hosts)
{
    if (m_hasListing) {
        return;
    }
    for (const std::string &text : hosts.entries) {
        const std::optional<host_entry> entry = parseHostEntry(text);
        if (entry && entry->host != m_own.host && !m_hosts.contains(entry->host)) {
            add(*entry);
        }
    }
    m_hooks.changed();
}

void host_directory::updateHealth(const std::string &host, known_host &known)
{
    const link_health health = known.link->health();
    if (health != known.health) {
        known.health = health;
        known.removeAt = drawRemovalTime();
        if (health != link_health::up) {
            probeDataCenter(known.entry.dataCenter);
        }
        m_hooks.linkChanged(host, health);
    }
}

void host_directory::tick(clock_ms now)
{
    removeUnreachable(now);
    bool isChanged = false;
    std::vector<std::pair<std::string, std::shared_ptr<host_link>>> links;
    links.reserve(m_hosts.size());
    for (const auto &[host, known] : m_hosts) {
        links.emplace_back(host, known.link);
    }
    for (const auto &[host, link] : links) {
        link->tick(now);
        const auto found = m_hosts.find(host);
        if (found != m_hosts.end() && found->second.link->health() != found->second.health) {
            updateHealth(host, found->second);
            isChanged = true;
        }
    }
    if (std::exchange(m_isLinkLost, false) && m_hasListing) {
        removeUnlisted();
        addListed();
        isChanged = true;
    }
    if (isChanged) {
        m_hooks.changed();
    }
    if (now - m_startedAt > startupPeriod) {
        m_mirror->setPause(steadyWatchPause);
    }
    writeOwnEntry(now);
}

/** Randomised, so that the first host to remove an entry usually spares the others the call: the removal reaches them as a change. */
clock_ms host_directory::drawRemovalTime()
{
    return steadyNow() + removalDelay + clock_ms{static_cast<std::int64_t>(threadRandom() % static_cast<std::uint64_t>(removalDelay.count))};
}

/** Removes entries of hosts that ended without deregistering; they only cause useless attempts to connect. */
void host_directory::removeUnreachable(clock_ms now)
{
    const auto reached = std::ranges::count_if(m_hosts, [](const auto &known) {
        return known.second.health == link_health::up;
    });
    if (static_cast<double>(reached) < minReachableShare * static_cast<double>(m_hosts.size())) {
        return;
    }
    for (auto &[host, known] : m_hosts) {
        const auto object = m_mirror->objects().find(host);
        if (known.health != link_health::down || now < known.removeAt || object == m_mirror->objects().end()) {
            continue;
        }
        known.removeAt = drawRemovalTime();
        m_store.remove(hostDirectoryKind, host, object->second.version, [peer = std::string(host)](const store_result<std::uint64_t> &result) {
            logEvent(log_level::info, "host_forgotten", {{"peer", peer}, {"result", toString(result.failure)}});
        });
    }
}

std::vector<upstream> host_directory::upstreams(clock_ms now) const
{
    std::vector<upstream> result;
    for (const auto &[host, known] : m_hosts) {
        if (!known.report) {
            continue;
        }
        const host_report &report = *known.report;
        const server_statement *stated = m_servers.find(report.statement.server);
        const bool hasLeft = stated != nullptr && stated->leaving; // Its sidecar may have forgotten it in a restart.
        const bool isUsable = known.health == link_health::up && report.server == server_state::serving && !report.leaving && !hasLeft;
        upstream candidate;
        candidate.service = known.entry.service;
        candidate.host = host;
        candidate.dataCenter = known.entry.dataCenter;
        candidate.peerAddress = known.entry.linkAddress;
        candidate.incarnation = report.incarnation;
        candidate.slots = std::max<std::uint32_t>(1, report.limit);
        candidate.draining = !isUsable;
        candidate.servingSince = std::min(known.servingSince, now);
        result.push_back(std::move(candidate));
    }
    return result;
}

std::shared_ptr<host_link> host_directory::find(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : found->second.link;
}

double host_directory::expectedRun(std::string_view host, std::string_view route) const
{
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return 0;
    }
    const auto run = known->second.runs.find(route);
    return run == known->second.runs.end() ? 0 : run->second;
}

std::vector<remote_host_status> host_directory::remoteHosts() const
{
    std::vector<remote_host_status> result;
    for (const auto &[host, known] : m_hosts) {
        result.push_back({host, known.entry.dataCenter, known.entry.service, std::string(toString(known.health)), known.report.value_or(host_report{})});
    }
    return result;
}

std::size_t host_directory::hostCount() const
{
    return m_hosts.size() + 1;
}

/** Writes this host's entry unless the store has it already, as after a restart at the same address. */
void host_directory::writeOwnEntry(clock_ms now)
{
    if (!m_hasListing || m_ownIsCurrent || m_isWriting || m_isLeaving || now < m_nextWrite) {
        return;
    }
    m_isWriting = true;
    m_nextWrite = now + writeRetryDelay;
    m_store.put(hostDirectoryKind, m_own.host, formatHostEntry(m_own), m_ownVersion, [this](const store_result<std::uint64_t> &result) {
        m_isWriting = false;
        if (result.failure == store_failure::none) {
            m_ownIsCurrent = true;
            m_ownVersion = result.value;
        } else if (result.failure == store_failure::conflict) {
            m_ownVersion = result.currentVersion;
            m_nextWrite = {}; // Retried at once with the current version.
        } else if (result.failure == store_failure::not_found) {
            m_ownVersion = 0;
        }
        logEvent(log_level::info, "own_entry_written", {{"result", toString(result.failure)}, {"version", m_ownVersion}});
    });
}

void host_directory::leave()
{
    m_isLeaving = true;
    if (m_ownVersion == 0) {
        return;
    }
    m_store.remove(hostDirectoryKind, m_own.host, m_ownVersion, [](const store_result<std::uint64_t> &result) {
        logEvent(log_level::info, "own_entry_removed", {{"result", toString(result.failure)}});
    });
}

void host_directory::stop()
{
    m_mirror->stop();
    const auto hosts = std::exchange(m_hosts, {});
    for (const auto &[host, known] : hosts) {
        known.link->stop();
    }
}

} // namespace cicadamux
