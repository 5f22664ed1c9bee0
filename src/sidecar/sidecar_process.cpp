/** @file sidecar_process.cpp Entry point of the sidecar process: event loop and signal handling. */

#include "core/event_loop_func.h"
#include "core/invariant_func.h"
#include "settings/settings_func.h"
#include "sidecar/settings_source_base.h"
#include "sidecar/sidecar_base.h"
#include "sidecar/sidecar_func.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace cicadamux
{

namespace
{
void logViolation(invariant which, std::string_view detail)
{
    logEvent(log_level::error, "invariant_violated", {{"invariant", toString(which)}, {"detail", detail}});
}

void checkOnSignal(boost::asio::signal_set &signals, settings_source &source)
{
    signals.async_wait([&signals, &source](boost::system::error_code cancelled, int) {
        if (!cancelled) {
            checkOnSignal(signals, source);
            source.check("signal");
        }
    });
}
} // namespace

int runSidecar(const std::string &settingsFile, const sidecar_adapter &adapter)
{
    const std::string text = readSettingsFile(settingsFile);
    const daemon_settings settings = parseSettings(text, settings_profile::sidecar);
    setUpLog(settings.host, settings.logFile, settings.logLevel);
    setInvariantHook(logViolation);
    std::signal(SIGPIPE, SIG_IGN);

    boost::asio::io_context context(1);
    sidecar running(context, settings, adapter);
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code cancelled, int) {
        if (!cancelled) {
            running.drain([&context] {
                context.stop();
            });
        }
    });
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    settings_source source(settingsFile, text, [&running](const daemon_settings &fresh) {
        running.applySettings(fresh);
    });
    checkOnSignal(reloadSignals, source);
    running.onSlowTick([&source](clock_ms now) {
        source.checkIfDue(now);
    });
    running.start();
    runEventLoop(context, logHandlerFailure);
    running.stop();
    logEvent(log_level::info, "sidecar_stopped", {});
    flushLog();
    return 0;
}

} // namespace cicadamux
