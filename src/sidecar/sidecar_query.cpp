/** @file sidecar_query.cpp Operator queries that a sidecar answers. */

#include "sidecar/sidecar_query_func.h"

#include "membership/member_type.h"

#include <array>
#include <locale>
#include <sstream>

namespace cicadamux
{

namespace
{
constexpr std::int64_t second = 1'000; // Milliseconds.

using query_words = std::vector<std::string>;
using query_answer = query_result (*)(const query_words &words, const sidecar_view &view);

struct query_handler {
    std::string_view pattern; ///< `ID` matches any word.
    std::string_view help;
    query_answer answer;
};

query_result makeResult(query_status status, std::string summary)
{
    query_result result;
    result.status = status;
    result.summary = std::move(summary);
    return result;
}

query_row rowOf(const request_record &record)
{
    return {record.at.count,
            record.atGate ? "gate" : "entry",
            record.route,
            record.service,
            std::string(toString(record.outcome)),
            std::string(toString(record.reason)),
            static_cast<std::int64_t>(record.status),
            record.tried,
            record.held.count,
            static_cast<std::int64_t>(record.configuration)};
}

std::string explain(const request_record &record)
{
    const std::string reason = record.reason == outcome_reason::none ? "the backend server's own failure" : std::string(toString(record.reason));
    if (record.atGate) {
        return "the gate ended it as " + std::string(toString(record.outcome)) + ": " + reason;
    }
    return "answered " + std::to_string(record.status) + " after " + std::to_string(record.held.count) + " ms: " + reason
        + (record.tried.empty() ? "; sent to no host" : "; sent to " + record.tried);
}

query_result whyRequest(const query_words &words, const sidecar_view &view)
{
    const std::vector<request_record> found = view.requests->find(words.back());
    const clock_ms completeSince = view.requests->completeSince();
    if (found.empty()) {
        const std::string reach
            = completeSince.count == 0 ? "since its start" : "for the last " + std::to_string((view.now - completeSince).count / second) + " s";
        return makeResult(query_status::not_found, view.host + " has no failure on record for request " + words.back() + "; its records are complete " + reach);
    }
    query_result result;
    query_table table{
        "request " + words.back(), {"time_ms", "place", "route", "service", "outcome", "reason", "status", "tried", "held_ms", "configuration"}, {}};
    for (const request_record &record : found) {
        table.rows.push_back(rowOf(record));
        result.summary += (result.summary.empty() ? "" : "; then ") + explain(record);
    }
    result.tables.push_back(std::move(table));
    return result;
}

query_result showInForce(const query_words &, const sidecar_view &view)
{
    if (view.configuration == 0) {
        return makeResult(query_status::not_found, view.host + " has no configuration");
    }
    return makeResult(query_status::ok, "configuration " + std::to_string(view.configuration) + " with " + std::to_string(view.routes) + " routes");
}

/** @return The rate that the host's backend server states, requests a second. */
std::string describeRate(const host_report &report)
{
    std::ostringstream text;
    text.imbue(std::locale::classic());
    if (report.statement.maxRate) {
        text << *report.statement.maxRate;
    } else {
        text << "none";
    }
    return text.str();
}

query_row rowOf(const remote_host_status &status)
{
    return {status.host,
            status.dataCenter,
            status.service,
            status.link,
            std::string(toString(status.report.server)),
            static_cast<std::int64_t>(status.report.leaving ? 1 : 0),
            static_cast<std::int64_t>(status.report.inUse),
            static_cast<std::int64_t>(status.report.waiting),
            static_cast<std::int64_t>(status.report.limit),
            describeRate(status.report),
            static_cast<std::int64_t>(status.report.configurationVersion)};
}

query_result showHosts(const query_words &, const sidecar_view &view)
{
    query_result result = makeResult(query_status::ok, std::to_string(view.hosts.size()) + " other hosts are known");
    query_table table{"hosts", {"host", "data_center", "service", "link", "server", "leaving", "in_use", "waiting", "limit", "max_rate", "configuration"}, {}};
    for (const remote_host_status &status : view.hosts) {
        table.rows.push_back(rowOf(status));
    }
    result.tables.push_back(std::move(table));
    return result;
}

query_result showGate(const query_words &, const sidecar_view &view)
{
    return makeResult(query_status::ok,
                      "server " + std::string(toString(view.own.server)) + "; " + std::to_string(view.own.inUse) + " of " + std::to_string(view.own.limit)
                          + " slots in use, " + std::to_string(view.own.waiting) + " waiting; mean run " + std::to_string(view.own.meanRun.count)
                          + " ms; at most " + describeRate(view.own) + " requests a second by its answers" + (view.own.statement.leaving ? "; leaving" : ""));
}

query_result showHelp(const query_words &words, const sidecar_view &view);

constexpr std::array<query_handler, 5> handlers = {{
    {"why request ID", "Explains why a request failed or was refused at this host.", whyRequest},
    {"show in force", "Shows the configuration in force on this host.", showInForce},
    {"show hosts", "Lists the other hosts as seen from this host.", showHosts},
    {"show gate", "Shows the load of this host's backend server.", showGate},
    {"help", "Lists the queries.", showHelp},
}};

query_result showHelp(const query_words &, const sidecar_view &)
{
    query_result result = makeResult(query_status::ok, "queries that a sidecar answers");
    query_table table{"lines", {"line", "help"}, {}};
    for (const query_handler &handler : handlers) {
        table.rows.push_back({std::string(handler.pattern), std::string(handler.help)});
    }
    result.tables.push_back(std::move(table));
    return result;
}

query_words splitWords(std::string_view line)
{
    std::istringstream stream{std::string(line)};
    query_words words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

bool matches(const query_words &words, std::string_view pattern)
{
    const query_words expected = splitWords(pattern);
    bool isSame = words.size() == expected.size();
    for (std::size_t index = 0; isSame && index < words.size(); ++index) {
        isSame = expected[index] == "ID" || expected[index] == words[index];
    }
    return isSame;
}
} // namespace

query_result answerSidecarQuery(std::string_view line, const sidecar_view &view)
{
    const query_words words = splitWords(line);
    for (const query_handler &handler : handlers) {
        if (matches(words, handler.pattern)) {
            return handler.answer(words, view);
        }
    }
    return makeResult(query_status::usage, "unknown query; `help` lists the queries that a sidecar answers");
}

} // namespace cicadamux
