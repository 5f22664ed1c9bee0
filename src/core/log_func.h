/** @file log_func.h Structured logging: one line of key=value pairs per event, written through Boost.Log. */

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cicadamux
{

enum class log_level : std::uint8_t { debug, info, warning, error };

/** One key=value pair of a log line. Values with spaces, quotes or control characters are quoted and escaped. */
struct log_field {
    std::string_view key; ///< In snake_case.
    std::string value; ///< Any text.

    log_field(std::string_view fieldKey, std::string_view text);
    log_field(std::string_view fieldKey, const char *text);
    log_field(std::string_view fieldKey, std::uint64_t number);
    log_field(std::string_view fieldKey, std::int64_t number);
    log_field(std::string_view fieldKey, std::int32_t number);
    log_field(std::string_view fieldKey, std::uint32_t number);
    log_field(std::string_view fieldKey, bool flag);
};

/**
 * Initializes the process's log.
 * @param host Value of `host=` in every line.
 * @param file Path of the log file; empty for standard error; `-` for standard output, which is written without blocking and only by flushLog().
 * @param lowest Events below this level are dropped.
 */
void setUpLog(std::string_view host, const std::string &file, log_level lowest);

/** Writes one event, unless its level is below the lowest one logged. */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** @return Whether an event of this level would be written. */
bool isLogged(log_level level);

/** Writes buffered lines; called before the process exits, and periodically if the log goes to standard output. */
void flushLog();

/** @return Number of lines dropped because standard output was not read fast enough. */
std::uint64_t droppedLogLines();

/** Formats the part of a log line that starts with `event=`; logEvent() prepends time, level and host. */
std::string formatLogLine(std::string_view event, std::initializer_list<log_field> fields);

} // namespace cicadamux
