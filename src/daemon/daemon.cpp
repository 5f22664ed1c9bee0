/** @file daemon.cpp Placeholder on the branch `operator`, replaced at the merge. */

#include "daemon/daemon_func.h"

#include "core/error_type.h"

namespace cicadamux {

int runDaemon(const daemon_settings & /*settings*/)
{
    throw error("the daemon isn't part of this build");
}

} // namespace cicadamux
