/** @file measure_report.cpp Output of the measurements. */

#include "bench/measure_report.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace cicadamux::test
{

namespace
{
/** @return Busy and total CPU time of the machine since its boot. */
std::pair<double, double> readCpuTimes()
{
    std::ifstream stream("/proc/stat");
    std::string name;
    stream >> name;
    double total = 0;
    double idle = 0;
    constexpr int idleColumn = 3;
    constexpr int ioWaitColumn = 4;
    constexpr int columns = 8;
    for (int column = 0; column < columns; ++column) {
        double value = 0;
        stream >> value;
        total += value;
        idle += column == idleColumn || column == ioWaitColumn ? value : 0;
    }
    return {total - idle, total};
}
} // namespace

report_line &report_line::add(std::string_view key, std::string_view value)
{
    m_values.emplace_back(key, value);
    return *this;
}

report_line &report_line::add(std::string_view key, const char *value)
{
    return add(key, std::string_view(value));
}

report_line &report_line::add(std::string_view key, double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return add(key, std::string_view(text));
}

report_line &report_line::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

void report_line::print() const
{
    std::string line;
    for (const auto &[key, value] : m_values) {
        line += line.empty() ? "" : " ";
        line += key;
        line += "=";
        line += value;
    }
    std::cout << line << std::endl; // NOLINT(performance-avoid-endl)
}

const std::vector<std::pair<std::string, std::string>> &report_line::values() const
{
    return m_values;
}

std::string formatReasons(const std::map<std::string, std::uint64_t> &reasons)
{
    constexpr std::size_t maxReasons = 4;
    std::vector<std::pair<std::uint64_t, std::string>> sorted;
    sorted.reserve(reasons.size());
    for (const auto &[reason, count] : reasons) {
        sorted.emplace_back(count, reason);
    }
    std::sort(sorted.rbegin(), sorted.rend());
    sorted.resize(std::min(sorted.size(), maxReasons));
    std::string text;
    for (const auto &[count, reason] : sorted) {
        text += text.empty() ? "" : ",";
        text += reason;
        text += ":";
        text += std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

void printTable(const std::vector<report_line> &lines)
{
    if (lines.empty()) {
        return;
    }
    std::string heading;
    std::string separatorRow;
    for (const auto &[key, value] : lines.front().values()) {
        heading += "| ";
        heading += key;
        heading += " ";
        separatorRow += "| --- ";
    }
    std::cout << heading << "|\n" << separatorRow << "|\n";
    for (const report_line &line : lines) {
        for (const auto &[key, value] : line.values()) {
            std::cout << "| " << value << " ";
        }
        std::cout << "|\n";
    }
    std::cout.flush();
}

cpu_meter::cpu_meter()
    : m_start(readCpuTimes())
{
}

double cpu_meter::utilisation() const
{
    const auto now = readCpuTimes();
    const double total = now.second - m_start.second;
    return total > 0 ? (now.first - m_start.first) / total : 0;
}

} // namespace cicadamux::test
