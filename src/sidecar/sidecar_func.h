/** @file sidecar_func.h Entry point of the sidecar process. */

#pragma once

#include "sidecar/sidecar_adapter_type.h"

#include <string>

namespace cicadamux
{

/**
 * Runs a sidecar until SIGTERM or SIGINT, then stops it gracefully. SIGHUP reloads the settings file.
 * @return Exit code of the process: 0 after a graceful stop.
 * @throws cicadamux::error if it can't start, for example because an address can't be bound.
 */
int runSidecar(const std::string &settingsFile, const sidecar_adapter &adapter);

} // namespace cicadamux
