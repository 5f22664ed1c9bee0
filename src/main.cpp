/** @file main.cpp Entry point. */

#include "daemon/daemon_func.h"
#include "operator/command_line_func.h"
#include "platform/adapter.h"
#include "sidecar/sidecar_func.h"

#include <string>

int main(int argc, char **argv)
{
    cicadamux::daemon_runners runners;
    runners.daemon = cicadamux::runDaemon;
    runners.sidecar = [](const std::string &settingsFile) {
        return cicadamux::runSidecar(settingsFile, cicadamux::platform::makeAdapter());
    };
    return cicadamux::runCommandLine(argc, argv, runners);
}
