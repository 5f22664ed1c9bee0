/** @file settings_type.h The settings of a daemon. */

#pragma once

#include "admission/gate_base.h"
#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/log_func.h"
#include "membership/member_table_base.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadamux
{

/** Which kind of long-running process the settings are for. */
enum class settings_profile : std::uint8_t {
    any, ///< Both kinds; used only in the table of settings.
    daemon, ///< Serves calls that name their service.
    sidecar ///< Serves requests that are routed by host and path.
};

/** When a change of a setting takes effect in a running sidecar; a daemon reads its settings only when it starts. */
enum class setting_reload : std::uint8_t {
    restart, ///< At the next start.
    live ///< At once, together with all other live settings of the file.
};

/** Settings of a daemon or sidecar with their defaults; settings_table.cpp defines path, type, unit and range of each. */
struct daemon_settings {
    std::string host; ///< Name of this host.
    std::string dataCenter; ///< Name of its data centre.

    std::string edgeAddress; ///< `IP:port`; empty: no edge listener.
    std::string localAddress; ///< `IP:port`.
    std::string peerAddress; ///< `IP:port`, TCP and UDP.
    std::string adminAddress; ///< `IP:port`.
    std::string readyAddress; ///< `IP:port`; sidecar only.
    std::string backendAddress; ///< `IP:port` of the backend server; sidecar only, as a daemon learns it from the server's announcement.
    std::string backendService; ///< Service of the backend server; sidecar only.
    bool isFirstStart = false; ///< The whole fleet starts for the first time; sidecar only.
    std::string platformBounds; ///< Fleet bounds in the format of the platform; sidecar only.

    std::vector<std::string> seeds; ///< Peer addresses of some daemons, used to join the fleet.
    std::string fleetKey; ///< Secret shared by all daemons; the MAC key of tickets.
    std::string platformAddress; ///< `IP:port`; empty: policies come from peers only.
    clock_ms platformTimeout{1'000}; ///< For a call to the platform, excluding the wait of a watch.
    clock_ms platformWatch{10'000}; ///< How long one watch request waits for changes.
    std::uint32_t platformCallsPerMinute = 60; ///< Rate limit of this daemon's calls to the platform.

    std::uint32_t threads = 2; ///< Worker threads.
    std::uint32_t maxConnections = 4'096; ///< Per HTTP listener.
    std::uint32_t maxCalls = 8'192; ///< Calls in progress at the same time.
    std::uint32_t memoryMb = 0; ///< Memory available to the process; 0: unlimited.
    std::size_t maxHeaderBytes = 16'384; ///< Per request or response.
    std::size_t maxBodyBytes = 1'048'576; ///< Per request or response.
    clock_ms idleTimeout{60'000}; ///< Time until an idle connection is closed.
    clock_ms requestTimeout{10'000}; ///< For a complete request to arrive after its first byte.

    clock_ms announceTimeout{3'000}; ///< Time without an announcement after which the backend server counts as absent.
    clock_ms stopTimeout{30'000}; ///< How long a planned stop waits for calls in flight.
    std::uint32_t attemptsElsewhere = 2; ///< Additional upstreams tried for a call that has certainly not run.
    std::uint32_t subsetSize = 16; ///< Upstreams of one service that this daemon connects to.
    clock_ms slowStart{5'000}; ///< Time over which a newly started upstream ramps up to its full share.
    std::size_t ticketCapacity = 20'000; ///< Stored tickets.
    std::size_t refusalRecords = 4'096; ///< Refusals stored for queries by operators.

    gate_settings gate;
    member_settings membership;

    std::string logFile; ///< Empty: standard error.
    log_level logLevel = log_level::info;
};

/** One error in a settings file. */
struct settings_fault {
    std::string path; ///< The key's path, such as `gate.max_waiting`.
    std::string problem; ///< Such as `unknown key`, `wrong type`, `out of range`, `missing`, or a JSON error.
    std::string allowed; ///< The allowed values, such as `whole number, calls, 1 to 65536`.
};

/** A settings file is invalid; lists all its faults. */
class settings_error : public error
{
public:
    explicit settings_error(std::vector<settings_fault> found);

    const std::vector<settings_fault> &faults() const;

private:
    std::vector<settings_fault> m_faults;
};

} // namespace cicadamux
