/** @file sidecar_process.cpp Entry point of the sidecar process: event loop and signal handling. */

#include "core/invariant_func.h"
#include "settings/settings_func.h"
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

/** Reloads the settings. Only the log settings take effect at once; the others need a restart. */
void reload(const std::string &settingsFile)
{
    try {
        const daemon_settings fresh = loadSettings(settingsFile, settings_profile::sidecar);
        setUpLog(fresh.host, fresh.logFile, fresh.logLevel);
        logEvent(log_level::info, "settings_reloaded", {{"file", settingsFile}});
    } catch (const settings_error &refused) {
        logEvent(log_level::error, "settings_refused", {{"file", settingsFile}, {"problem", refused.what()}});
    }
}

void waitForReload(boost::asio::signal_set &signals, const std::string &settingsFile)
{
    signals.async_wait([&signals, &settingsFile](boost::system::error_code cancelled, int) {
        if (!cancelled) {
            reload(settingsFile);
            waitForReload(signals, settingsFile);
        }
    });
}
} // namespace

int runSidecar(const std::string &settingsFile, const sidecar_adapter &adapter)
{
    const daemon_settings settings = loadSettings(settingsFile, settings_profile::sidecar);
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
    waitForReload(reloadSignals, settingsFile);
    running.start();
    context.run();
    running.stop();
    logEvent(log_level::info, "sidecar_stopped", {});
    flushLog();
    return 0;
}

} // namespace cicadamux
