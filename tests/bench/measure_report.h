/** @file measure_report.h Output of the measurements. */

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadamux::test
{

/** Values by name, in the order in which they were added; printed as one line of key=value pairs. */
class report_line
{
public:
    report_line &add(std::string_view key, std::string_view value);
    report_line &add(std::string_view key, const char *value);
    report_line &add(std::string_view key, double value);
    report_line &add(std::string_view key, std::uint64_t value);

    /** Prints the line. */
    void print() const;

    const std::vector<std::pair<std::string, std::string>> &values() const;

private:
    std::vector<std::pair<std::string, std::string>> m_values;
};

/** @return The most frequent reasons with their counts, such as `overloaded:12,shed:3`; `none` if there are none. */
std::string formatReasons(const std::map<std::string, std::uint64_t> &reasons);

/** Prints lines that have the same keys as a Markdown table. */
void printTable(const std::vector<report_line> &lines);

/** Measures the CPU utilisation of the whole machine. */
class cpu_meter
{
public:
    cpu_meter();

    /** @return CPU utilisation since the construction, 0 to 1, including that of other programs. */
    double utilisation() const;

private:
    std::pair<double, double> m_start; ///< Busy and total CPU time.
};

} // namespace cicadamux::test
