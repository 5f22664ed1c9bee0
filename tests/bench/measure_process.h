/** @file measure_process.h Resource usage of a process, read from /proc. */

#pragma once

#include <sys/types.h>

namespace cicadamux::test
{

/** @return User and system CPU time of a process, in seconds. */
double cpuSeconds(pid_t pid);

/** @return Resident memory of a process, in megabytes. */
double residentMegabytes(pid_t pid);

} // namespace cicadamux::test
