/** @file measure_process.cpp Resource usage of a process, read from /proc. */

#include "bench/measure_process.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace cicadamux::test
{

namespace
{
constexpr double kilobyte = 1'024;
}

double cpuSeconds(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(stream, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    constexpr int skippedFields = 11; // The fields from state to cmajflt.
    for (int field = 0; field < skippedFields; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    stream >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kilobyte / kilobyte;
}

} // namespace cicadamux::test
