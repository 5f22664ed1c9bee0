/** @file main.cpp Entry point. */

#include "daemon/daemon_func.h"
#include "operator/command_line_func.h"

int main(int argc, char **argv)
{
    return cicadamux::runCommandLine(argc, argv, cicadamux::runDaemon);
}
