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

/** Which of the program's two long-running parts reads the settings. */
enum class settings_profile : std::uint8_t {
    any, ///< In the table: both of them.
    daemon, ///< Calls that name their service.
    sidecar ///< Requests that are routed by host and path.
};

/** Everything that a daemon learns at its start; settings_table.cpp states type, unit, range and default of each. */
struct daemon_settings {
    std::string host; ///< Name of this host.
    std::string dataCenter; ///< Name of its data centre.

    std::string edgeAddress; ///< `IP:port`; empty: no edge listener.
    std::string localAddress; ///< `IP:port`.
    std::string peerAddress; ///< `IP:port`, TCP and UDP.
    std::string adminAddress; ///< `IP:port`.
    std::string readyAddress; ///< `IP:port`; of a sidecar.
    std::string backendAddress; ///< `IP:port` of the backend server; of a sidecar, to which the server doesn't tell it by itself.
    std::string backendService; ///< Service of the backend server; of a sidecar.
    std::string platformBounds; ///< Bounds of the fleet as the platform writes them; of a sidecar.

    std::vector<std::string> seeds; ///< Peer addresses of some other daemons.
    std::string fleetKey; ///< Secret that all daemons share; keys the MAC of tickets.
    std::string platformAddress; ///< `IP:port`; empty: no platform, by policies from peers only.
    clock_ms platformTimeout{1'000}; ///< For a call to the platform, a watch's wait not counted.
    clock_ms platformWatch{10'000}; ///< Wait of one watch.
    std::uint32_t platformCallsPerMinute = 60; ///< Budget of this daemon for calls to the platform.

    std::uint32_t threads = 2; ///< Worker threads.
    std::uint32_t maxConnections = 4'096; ///< On each HTTP listener.
    std::uint32_t maxCalls = 8'192; ///< Calls held at a time.
    std::uint32_t memoryMb = 0; ///< Memory that the process may use; 0: no bound is kept.
    std::size_t maxHeaderBytes = 16'384; ///< Header of one request or answer.
    std::size_t maxBodyBytes = 1'048'576; ///< Body of one request or answer.
    clock_ms idleTimeout{60'000}; ///< Until an idle connection is closed.
    clock_ms requestTimeout{10'000}; ///< For a whole request to arrive after its first byte.

    clock_ms announceTimeout{3'000}; ///< Silence that ends a backend server's announcement.
    clock_ms stopTimeout{30'000}; ///< Longest wait for calls in flight at a planned stop.
    std::uint32_t attemptsElsewhere = 2; ///< Further upstreams tried after a sure `not run`.
    std::uint32_t subsetSize = 16; ///< Upstreams of one service that this daemon connects to.
    clock_ms slowStart{5'000}; ///< Time in which a cold upstream gets its full share.
    std::size_t ticketCapacity = 20'000; ///< Tickets remembered.
    std::size_t refusalRecords = 4'096; ///< Refusals remembered for operators.

    gate_settings gate;
    member_settings membership;

    std::string logFile; ///< Empty: standard error.
    log_level logLevel = log_level::info;
};

/** One thing that is wrong with a settings file. */
struct settings_fault {
    std::string path; ///< The key's path, such as `gate.max_waiting`.
    std::string problem; ///< `unknown key`, `wrong type`, `out of range`, `missing`, or a JSON error.
    std::string allowed; ///< What would be right, such as `whole number, calls, 1 to 65536`.
};

/** A settings file can't be used; holds all its faults. */
class settings_error : public error
{
public:
    explicit settings_error(std::vector<settings_fault> found);

    const std::vector<settings_fault> &faults() const;

private:
    std::vector<settings_fault> m_faults;
};

} // namespace cicadamux
