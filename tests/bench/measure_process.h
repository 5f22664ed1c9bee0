/** @file measure_process.h What a process has used, from /proc. */

#pragma once

#include <sys/types.h>

namespace cicadamux::test
{

/** @return Processor time of a process, seconds. */
double processorSeconds(pid_t pid);

/** @return Resident memory of a process, megabytes. */
double residentMegabytes(pid_t pid);

} // namespace cicadamux::test
