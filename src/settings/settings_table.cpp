/** @file settings_table.cpp The table of all settings. */

#include "settings/settings_table.h"

#include <boost/json.hpp>

#include <array>

namespace cicadamux::detail
{

namespace
{
using settings = daemon_settings;

template<auto Member>
auto &topLevel(settings &instance)
{
    return instance.*Member;
}

template<auto Member>
auto &inGate(settings &instance)
{
    return instance.gate.*Member;
}

template<auto Member>
auto &inMembership(settings &instance)
{
    return instance.membership.*Member;
}

constexpr double hour = 3'600'000; // ms
constexpr double megabyte = 1'000'000; // bytes

constexpr text_form name = text_form::name;
constexpr text_form address = text_form::address;
constexpr setting_reload live = setting_reload::live;

// clang-format off
const std::array rows = {
    // path, target, required, form, unit, minimum, maximum, help, profile, reload
    setting_row{ "host", &topLevel<&settings::host>, true, name, "", 0, 0, "Name of this host, unique in the fleet" },
    setting_row{ "data_center", &topLevel<&settings::dataCenter>, true, name, "", 0, 0, "Name of this host's data centre" },
    setting_row{ "edge.address", &topLevel<&settings::edgeAddress>, false, text_form::address_or_empty, "", 0, 0, "Listener for callers; empty: disabled" },
    setting_row{ "local.address", &topLevel<&settings::localAddress>, true, address, "", 0, 0, "Listener for this host's backend server" },
    setting_row{ "peer.address", &topLevel<&settings::peerAddress>, true, address, "", 0, 0, "Listener for other daemons, TCP and UDP" },
    setting_row{ "admin.address", &topLevel<&settings::adminAddress>, true, address, "", 0, 0, "Listener for operators and metrics collectors" },
    setting_row{ "ready.address", &topLevel<&settings::readyAddress>, true, address, "", 0, 0, "Listener for the platform's readiness checks of a sidecar", settings_profile::sidecar },
    setting_row{ "backend.address", &topLevel<&settings::backendAddress>, true, address, "", 0, 0, "Address of a sidecar's backend server", settings_profile::sidecar },
    setting_row{ "backend.service", &topLevel<&settings::backendService>, true, name, "", 0, 0, "Service of a sidecar's backend server", settings_profile::sidecar },
    setting_row{ "seeds", &topLevel<&settings::seeds>, false, address, "", 0, 0, "Peer addresses of some daemons, used to join the fleet" },
    setting_row{ "fleet_key", &topLevel<&settings::fleetKey>, true, text_form::secret, "", 0, 0, "Secret shared by all daemons of the fleet; never printed or logged; a sidecar that has one accepts links only from those that have it", settings_profile::daemon },
    setting_row{ "platform.address", &topLevel<&settings::platformAddress>, false, text_form::address_or_empty, "", 0, 0, "The platform's object API; empty: policies come from peers only", settings_profile::any, live },
    setting_row{ "platform.timeout_ms", &topLevel<&settings::platformTimeout>, false, name, "ms", 10, 60'000, "Timeout of a call to the platform, excluding the wait of a watch" },
    setting_row{ "platform.watch_ms", &topLevel<&settings::platformWatch>, false, name, "ms", 100, 300'000, "How long one watch request waits for changes" },
    setting_row{ "platform.calls_per_minute", &topLevel<&settings::platformCallsPerMinute>, false, name, "calls a minute", 1, 100'000, "Rate limit of this daemon's calls to the platform" },
    setting_row{ "platform.bounds", &topLevel<&settings::platformBounds>, true, text_form::file, "", 0, 0, "Fleet bounds in the format of the platform", settings_profile::sidecar, live },
    setting_row{ "platform.first_start", &topLevel<&settings::isFirstStart>, false, name, "", 0, 0, "The whole fleet starts for the first time, so that the store holds nothing that this host has written", settings_profile::sidecar },
    setting_row{ "limits.threads", &topLevel<&settings::threads>, false, name, "threads", 1, 64, "Worker threads" },
    setting_row{ "limits.memory_mb", &topLevel<&settings::memoryMb>, false, name, "MB", 0, 1'048'576, "Memory available to the process; a part of it limits the bytes buffered for requests and responses; 0: unlimited", settings_profile::sidecar, live },
    setting_row{ "limits.connections", &topLevel<&settings::maxConnections>, false, name, "connections", 1, 65'536, "Maximum number of open connections per HTTP listener", settings_profile::any, live },
    setting_row{ "limits.calls", &topLevel<&settings::maxCalls>, false, name, "calls", 1, 1'048'576, "Maximum number of calls in progress at the same time" },
    setting_row{ "limits.header_bytes", &topLevel<&settings::maxHeaderBytes>, false, name, "bytes", 256, 1'048'576, "Maximum header size of a request or response", settings_profile::any, live },
    setting_row{ "limits.body_bytes", &topLevel<&settings::maxBodyBytes>, false, name, "bytes", 1, 64 * megabyte, "Maximum body size of a request or response", settings_profile::any, live },
    setting_row{ "limits.idle_timeout_ms", &topLevel<&settings::idleTimeout>, false, name, "ms", 100, hour, "Time until an idle connection is closed", settings_profile::any, live },
    setting_row{ "limits.request_timeout_ms", &topLevel<&settings::requestTimeout>, false, name, "ms", 10, 600'000, "Time for a complete request to arrive after its first byte", settings_profile::any, live },
    setting_row{ "limits.announce_timeout_ms", &topLevel<&settings::announceTimeout>, false, name, "ms", 100, 60'000, "Time without an announcement after which the backend server counts as absent" },
    setting_row{ "limits.stop_timeout_ms", &topLevel<&settings::stopTimeout>, false, name, "ms", 0, hour, "How long a planned stop waits for calls in flight" },
    setting_row{ "limits.tickets", &topLevel<&settings::ticketCapacity>, false, name, "tickets", 1, 10'000'000, "Maximum number of stored tickets of at-most-once operations" },
    setting_row{ "limits.refusal_records", &topLevel<&settings::refusalRecords>, false, name, "records", 1, 1'000'000, "Maximum number of refusals stored for queries by operators" },
    setting_row{ "routing.attempts_elsewhere", &topLevel<&settings::attemptsElsewhere>, false, name, "upstreams", 0, 16, "Additional upstreams tried for a call that has certainly not run" },
    setting_row{ "routing.subset_size", &topLevel<&settings::subsetSize>, false, name, "upstreams", 1, 1'024, "Maximum number of upstreams per service that this daemon connects to" },
    setting_row{ "routing.slow_start_ms", &topLevel<&settings::slowStart>, false, name, "ms", 0, 600'000, "Time over which a newly started upstream ramps up to its full share", settings_profile::any, live },
    setting_row{ "gate.enabled", &inGate<&gate_settings::enabled>, false, name, "", 0, 0, "False admits every call regardless of its rank; for comparison only" },
    setting_row{ "gate.initial_limit", &inGate<&gate_settings::initialLimit>, false, name, "calls", 1, 65'536, "Concurrency limit before any measurements exist" },
    setting_row{ "gate.min_limit", &inGate<&gate_settings::minLimit>, false, name, "calls", 1, 65'536, "Minimum concurrency limit" },
    setting_row{ "gate.max_limit", &inGate<&gate_settings::maxLimit>, false, name, "calls", 1, 65'536, "Maximum concurrency limit" },
    setting_row{ "gate.max_waiting", &inGate<&gate_settings::maxWaiting>, false, name, "calls", 1, 65'536, "Maximum number of queued calls" },
    setting_row{ "gate.max_wait_ms", &inGate<&gate_settings::maxWait>, false, name, "ms", 1, 60'000, "Maximum queueing time of a call below the protected ranks" },
    setting_row{ "membership.probe_period_ms", &inMembership<&member_settings::probePeriod>, false, name, "ms", 20, 60'000, "Interval between probes of other daemons" },
    setting_row{ "membership.probe_timeout_ms", &inMembership<&member_settings::probeTimeout>, false, name, "ms", 5, 30'000, "Time without a reply to a probe after which other daemons are asked to probe indirectly" },
    setting_row{ "membership.indirect_probes", &inMembership<&member_settings::indirectProbes>, false, name, "daemons", 0, 16, "Number of daemons asked to probe indirectly" },
    setting_row{ "membership.suspicion_ms", &inMembership<&member_settings::suspicionTime>, false, name, "ms", 50, 600'000, "Time after which a suspected daemon counts as dead" },
    setting_row{ "membership.datagram_bytes", &inMembership<&member_settings::datagramBytes>, false, name, "bytes", 512, 9'000, "Maximum size of a gossip datagram" },
    setting_row{ "membership.max_members", &inMembership<&member_settings::maxMembers>, false, name, "daemons", 1, 1'048'576, "Maximum number of known daemons" },
    setting_row{ "membership.interests", &inMembership<&member_settings::interests>, false, name, "", 0, 0, "Services whose upstreams in other data centres are tracked; empty: all" },
    setting_row{ "log.file", &topLevel<&settings::logFile>, false, text_form::file, "", 0, 0, "File that the log is appended to; empty: standard error; `-`: standard output", settings_profile::any, live },
    setting_row{ "log.level", &topLevel<&settings::logLevel>, false, name, "", 0, 0, "Lowest level that is logged", settings_profile::any, live },
};
// clang-format on

/** Converts a default value to JSON. */
struct default_writer {
    daemon_settings &defaults;

    boost::json::value operator()(setting_accessor<std::string> access) const
    {
        return boost::json::value(access(defaults));
    }

    boost::json::value operator()(setting_accessor<std::vector<std::string>> access) const
    {
        return boost::json::value_from(access(defaults));
    }

    boost::json::value operator()(setting_accessor<clock_ms> access) const
    {
        return access(defaults).count;
    }

    boost::json::value operator()(setting_accessor<log_level> access) const
    {
        return boost::json::value(levelName(access(defaults)));
    }

    template<typename Value>
    boost::json::value operator()(setting_accessor<Value> access) const
    {
        return access(defaults);
    }
};

std::string describeText(text_form form)
{
    switch (form) {
    case text_form::name:
        return "text, [a-z0-9.-]{1,63}";
    case text_form::address:
        return "text, IPv4 address and port such as 127.0.0.1:7001";
    case text_form::address_or_empty:
        return "text, IPv4 address and port such as 127.0.0.1:7001, or empty";
    case text_form::secret:
        return "text, " + std::to_string(minSecretLength) + " to " + std::to_string(maxTextLength) + " characters";
    case text_form::file:
        break;
    }
    return "text, path of a file or empty";
}

std::string describeInteger(const setting_row &row)
{
    return "whole number, " + std::string(row.unit) + ", " + std::to_string(static_cast<std::int64_t>(row.minimum)) + " to "
        + std::to_string(static_cast<std::int64_t>(row.maximum));
}

/** Describes the values allowed by a setting's type and range. */
struct allowed_writer {
    const setting_row &row;

    std::string operator()(setting_accessor<std::string> /*access*/) const
    {
        return describeText(row.form);
    }

    std::string operator()(setting_accessor<std::vector<std::string>> /*access*/) const
    {
        return "list of at most " + std::to_string(maxListLength) + ": " + describeText(row.form);
    }

    std::string operator()(setting_accessor<bool> /*access*/) const
    {
        return "true or false";
    }

    std::string operator()(setting_accessor<log_level> /*access*/) const
    {
        return "text, debug, info, warning or error";
    }

    template<typename Value>
    std::string operator()(setting_accessor<Value> /*access*/) const
    {
        return describeInteger(row);
    }
};
} // namespace

std::span<const setting_row> settingRows()
{
    return rows;
}

std::string describeAllowed(const setting_row &row)
{
    return std::visit(allowed_writer{row}, row.target);
}

std::string describeDefault(const setting_row &row)
{
    if (row.isRequired) {
        return "required";
    }
    daemon_settings defaults;
    return boost::json::serialize(std::visit(default_writer{defaults}, row.target));
}

std::string_view levelName(log_level level)
{
    constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

} // namespace cicadamux::detail
