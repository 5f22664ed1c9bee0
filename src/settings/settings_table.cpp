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
auto &top(settings &subject)
{
    return subject.*Member;
}

template<auto Member>
auto &inGate(settings &subject)
{
    return subject.gate.*Member;
}

template<auto Member>
auto &inMembership(settings &subject)
{
    return subject.membership.*Member;
}

constexpr double hour = 3'600'000; // Milliseconds.
constexpr double megabyte = 1'000'000; // Bytes.

constexpr text_form name = text_form::name;
constexpr text_form address = text_form::address;

// clang-format off
const std::array rows = {
    // path, target, required, form, unit, least, most, help
    setting_row{ "host", &top<&settings::host>, true, name, "", 0, 0, "Name of this host, unique in the fleet" },
    setting_row{ "data_center", &top<&settings::dataCenter>, true, name, "", 0, 0, "Name of this host's data centre" },
    setting_row{ "edge.address", &top<&settings::edgeAddress>, false, text_form::address_or_empty, "", 0, 0, "Where callers connect; empty: no such listener" },
    setting_row{ "local.address", &top<&settings::localAddress>, true, address, "", 0, 0, "Where the backend server of this host connects" },
    setting_row{ "peer.address", &top<&settings::peerAddress>, true, address, "", 0, 0, "Where other daemons connect, TCP and UDP" },
    setting_row{ "admin.address", &top<&settings::adminAddress>, true, address, "", 0, 0, "Where operators and metrics collectors connect" },
    setting_row{ "ready.address", &top<&settings::readyAddress>, true, address, "", 0, 0, "Where the platform asks a sidecar whether it takes clients", settings_profile::sidecar },
    setting_row{ "backend.address", &top<&settings::backendAddress>, true, address, "", 0, 0, "Where a sidecar finds its backend server", settings_profile::sidecar },
    setting_row{ "backend.service", &top<&settings::backendService>, true, name, "", 0, 0, "Service of a sidecar's backend server", settings_profile::sidecar },
    setting_row{ "seeds", &top<&settings::seeds>, false, address, "", 0, 0, "Peer addresses of some other daemons, to find the fleet by" },
    setting_row{ "fleet_key", &top<&settings::fleetKey>, true, text_form::secret, "", 0, 0, "Secret that all daemons of the fleet share; never shown or logged", settings_profile::daemon },
    setting_row{ "platform.address", &top<&settings::platformAddress>, false, text_form::address_or_empty, "", 0, 0, "The platform's object API; empty: policies come from peers only" },
    setting_row{ "platform.timeout_ms", &top<&settings::platformTimeout>, false, name, "ms", 10, 60'000, "Longest wait for an answer of the platform, a watch's own wait not counted" },
    setting_row{ "platform.watch_ms", &top<&settings::platformWatch>, false, name, "ms", 100, 300'000, "How long one watch waits for changes" },
    setting_row{ "platform.calls_per_minute", &top<&settings::platformCallsPerMinute>, false, name, "calls a minute", 1, 100'000, "This daemon's budget of calls to the platform" },
    setting_row{ "platform.bounds", &top<&settings::platformBounds>, true, text_form::file, "", 0, 0, "Bounds of the fleet, as the platform writes them", settings_profile::sidecar },
    setting_row{ "limits.threads", &top<&settings::threads>, false, name, "threads", 1, 64, "Worker threads" },
    setting_row{ "limits.memory_mb", &top<&settings::memoryMb>, false, name, "MB", 0, 1'048'576, "Memory that the process may use; a part of it bounds the bytes held for requests and answers; 0: no bound", settings_profile::sidecar },
    setting_row{ "limits.connections", &top<&settings::maxConnections>, false, name, "connections", 1, 65'536, "Open connections on each HTTP listener" },
    setting_row{ "limits.calls", &top<&settings::maxCalls>, false, name, "calls", 1, 1'048'576, "Calls held at a time" },
    setting_row{ "limits.header_bytes", &top<&settings::maxHeaderBytes>, false, name, "bytes", 256, 1'048'576, "Header of one request or answer" },
    setting_row{ "limits.body_bytes", &top<&settings::maxBodyBytes>, false, name, "bytes", 1, 64 * megabyte, "Body of one request or answer" },
    setting_row{ "limits.idle_timeout_ms", &top<&settings::idleTimeout>, false, name, "ms", 100, hour, "Time until an idle connection is closed" },
    setting_row{ "limits.request_timeout_ms", &top<&settings::requestTimeout>, false, name, "ms", 10, 600'000, "Time for a whole request to arrive after its first byte" },
    setting_row{ "limits.announce_timeout_ms", &top<&settings::announceTimeout>, false, name, "ms", 100, 60'000, "Silence of the backend server that ends its announcement" },
    setting_row{ "limits.stop_timeout_ms", &top<&settings::stopTimeout>, false, name, "ms", 0, hour, "Longest wait for calls in flight at a planned stop" },
    setting_row{ "limits.tickets", &top<&settings::ticketCapacity>, false, name, "tickets", 1, 10'000'000, "Tickets of at-most-once operations that are remembered" },
    setting_row{ "limits.refusal_records", &top<&settings::refusalRecords>, false, name, "records", 1, 1'000'000, "Refusals that are remembered for operators" },
    setting_row{ "routing.attempts_elsewhere", &top<&settings::attemptsElsewhere>, false, name, "upstreams", 0, 16, "Further upstreams that are tried after a sure not-run" },
    setting_row{ "routing.subset_size", &top<&settings::subsetSize>, false, name, "upstreams", 1, 1'024, "Upstreams of one service that this daemon connects to" },
    setting_row{ "routing.slow_start_ms", &top<&settings::slowStart>, false, name, "ms", 0, 600'000, "Time in which a cold upstream gets its full share" },
    setting_row{ "gate.enabled", &inGate<&gate_settings::enabled>, false, name, "", 0, 0, "False admits every call, whatever its rank; for comparisons only" },
    setting_row{ "gate.initial_limit", &inGate<&gate_settings::initialLimit>, false, name, "calls", 1, 65'536, "Concurrency limit before anything is learnt" },
    setting_row{ "gate.min_limit", &inGate<&gate_settings::minLimit>, false, name, "calls", 1, 65'536, "Least concurrency limit" },
    setting_row{ "gate.max_limit", &inGate<&gate_settings::maxLimit>, false, name, "calls", 1, 65'536, "Greatest concurrency limit" },
    setting_row{ "gate.max_waiting", &inGate<&gate_settings::maxWaiting>, false, name, "calls", 1, 65'536, "Calls that may wait in the queue" },
    setting_row{ "gate.max_wait_ms", &inGate<&gate_settings::maxWait>, false, name, "ms", 1, 60'000, "Longest wait of a call below the protected ranks" },
    setting_row{ "membership.probe_period_ms", &inMembership<&member_settings::probePeriod>, false, name, "ms", 20, 60'000, "Time between two probes of other daemons" },
    setting_row{ "membership.probe_timeout_ms", &inMembership<&member_settings::probeTimeout>, false, name, "ms", 5, 30'000, "Time until other daemons are asked to probe too" },
    setting_row{ "membership.indirect_probes", &inMembership<&member_settings::indirectProbes>, false, name, "daemons", 0, 16, "Daemons that are asked to probe too" },
    setting_row{ "membership.suspicion_ms", &inMembership<&member_settings::suspicionTime>, false, name, "ms", 50, 600'000, "Time until a suspected daemon counts as dead" },
    setting_row{ "membership.datagram_bytes", &inMembership<&member_settings::datagramBytes>, false, name, "bytes", 512, 9'000, "Greatest gossip datagram" },
    setting_row{ "membership.max_members", &inMembership<&member_settings::maxMembers>, false, name, "daemons", 1, 1'048'576, "Daemons that are remembered" },
    setting_row{ "membership.interests", &inMembership<&member_settings::interests>, false, name, "", 0, 0, "Services of other data centres whose upstreams are kept; empty: all" },
    setting_row{ "log.file", &top<&settings::logFile>, false, text_form::file, "", 0, 0, "File that the log is appended to; empty: standard error; `-`: standard output" },
    setting_row{ "log.level", &top<&settings::logLevel>, false, name, "", 0, 0, "Lowest level that is logged" },
};
// clang-format on

/** Formats a default value as JSON. */
struct default_writer {
    daemon_settings &defaults;

    boost::json::value operator()(setting_place<std::string> place) const
    {
        return boost::json::value(place(defaults));
    }

    boost::json::value operator()(setting_place<std::vector<std::string>> place) const
    {
        return boost::json::value_from(place(defaults));
    }

    boost::json::value operator()(setting_place<clock_ms> place) const
    {
        return place(defaults).count;
    }

    boost::json::value operator()(setting_place<log_level> place) const
    {
        return boost::json::value(levelName(place(defaults)));
    }

    template<typename Value>
    boost::json::value operator()(setting_place<Value> place) const
    {
        return place(defaults);
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

std::string describeWhole(const setting_row &row)
{
    return "whole number, " + std::string(row.unit) + ", " + std::to_string(static_cast<std::int64_t>(row.least)) + " to "
        + std::to_string(static_cast<std::int64_t>(row.most));
}

/** Describes what the target's type and the row's range allow. */
struct allowed_writer {
    const setting_row &row;

    std::string operator()(setting_place<std::string> /*place*/) const
    {
        return describeText(row.form);
    }

    std::string operator()(setting_place<std::vector<std::string>> /*place*/) const
    {
        return "list of at most " + std::to_string(maxListLength) + ": " + describeText(row.form);
    }

    std::string operator()(setting_place<bool> /*place*/) const
    {
        return "true or false";
    }

    std::string operator()(setting_place<log_level> /*place*/) const
    {
        return "text, debug, info, warning or error";
    }

    template<typename Value>
    std::string operator()(setting_place<Value> /*place*/) const
    {
        return describeWhole(row);
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
