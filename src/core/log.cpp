/** @file log.cpp Structured logging through Boost.Log. */

#include "core/log_func.h"

#include "core/clock_type.h"
#include "core/line_output_base.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <string>

namespace cicadamux
{

namespace
{
namespace logging = boost::log;
using text_sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

std::atomic<log_level> lowestLevel{log_level::info};
std::string hostName; // Written once, before other threads start to log.

std::string_view toString(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void appendEscaped(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            line += '?';
        } else {
            line += character;
        }
    }
    line += '"';
}

void appendPair(std::string &line, std::string_view key, std::string_view value)
{
    line += ' ';
    line += key;
    line += '=';
    if (needsQuotes(value)) {
        appendEscaped(line, value);
    } else {
        line += value;
    }
}

detail::line_output &standardOutput()
{
    static detail::line_output output(STDOUT_FILENO);
    return output;
}

boost::shared_ptr<std::ostream> openStream(const std::string &file)
{
    if (file == "-") {
        return boost::make_shared<std::ostream>(&standardOutput());
    }
    if (file.empty()) {
        return {&std::clog, boost::null_deleter()};
    }
    return boost::make_shared<std::ofstream>(file, std::ios::app);
}
} // namespace

log_field::log_field(std::string_view fieldKey, std::string_view text)
    : key(fieldKey)
    , value(text)
{
}

log_field::log_field(std::string_view fieldKey, const char *text)
    : key(fieldKey)
    , value(text)
{
}

log_field::log_field(std::string_view fieldKey, std::uint64_t number)
    : key(fieldKey)
    , value(std::to_string(number))
{
}

log_field::log_field(std::string_view fieldKey, std::int64_t number)
    : key(fieldKey)
    , value(std::to_string(number))
{
}

log_field::log_field(std::string_view fieldKey, std::int32_t number)
    : key(fieldKey)
    , value(std::to_string(number))
{
}

log_field::log_field(std::string_view fieldKey, std::uint32_t number)
    : key(fieldKey)
    , value(std::to_string(number))
{
}

log_field::log_field(std::string_view fieldKey, bool flag)
    : key(fieldKey)
    , value(flag ? "true" : "false")
{
}

void setUpLog(std::string_view host, const std::string &file, log_level lowest)
{
    hostName = host;
    lowestLevel = lowest;
    auto sink = boost::make_shared<text_sink>();
    sink->locked_backend()->add_stream(openStream(file));
    sink->locked_backend()->auto_flush(true);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(sink);
}

bool isLogged(log_level level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
}

std::string formatLogLine(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "event=";
    line += event;
    for (const log_field &field : fields) {
        appendPair(line, field.key, field.value);
    }
    return line;
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!isLogged(level)) {
        return;
    }
    thread_local logging::sources::severity_logger<log_level> logger;
    std::string prefix = "time_ms=" + std::to_string(wallNow().count);
    appendPair(prefix, "level", toString(level));
    appendPair(prefix, "host", hostName);
    BOOST_LOG_SEV(logger, level) << prefix << ' ' << formatLogLine(event, fields);
}

void flushLog()
{
    logging::core::get()->flush();
    standardOutput().flush();
}

std::uint64_t droppedLogLines()
{
    return standardOutput().dropped();
}

} // namespace cicadamux
