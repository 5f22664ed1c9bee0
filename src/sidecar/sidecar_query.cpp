/** @file sidecar_query.cpp What a sidecar answers to operators. */

#include "sidecar/sidecar_query_func.h"

#include "membership/member_type.h"

#include <array>
#include <sstream>

namespace cicadamux
{

namespace
{
constexpr std::int64_t second = 1'000; // Milliseconds.

using query_words = std::vector<std::string>;
using query_answer = query_result (*)(const query_words &words, const sidecar_view &view);

struct query_form {
    std::string_view form; ///< Capital words stand for any word.
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

query_row rowOf(const remembered_request &known)
{
    return {known.at.count,
            known.atGate ? "gate" : "entry",
            known.route,
            known.service,
            std::string(toString(known.outcome)),
            std::string(toString(known.reason)),
            static_cast<std::int64_t>(known.status),
            known.tried,
            known.held.count,
            static_cast<std::int64_t>(known.configuration)};
}

std::string explain(const remembered_request &known)
{
    const std::string reason = known.reason == outcome_reason::none ? "the backend server's own failure" : std::string(toString(known.reason));
    if (known.atGate) {
        return "the gate ended it as " + std::string(toString(known.outcome)) + ": " + reason;
    }
    return "answered " + std::to_string(known.status) + " after " + std::to_string(known.held.count) + " ms: " + reason
        + (known.tried.empty() ? "; sent to no host" : "; sent to " + known.tried);
}

query_result whyRequest(const query_words &words, const sidecar_view &view)
{
    const std::vector<remembered_request> found = view.requests->find(words.back());
    const clock_ms since = view.requests->since();
    if (found.empty()) {
        const std::string reach = since.count == 0 ? "since its start" : "for the last " + std::to_string((view.now - since).count / second) + " s";
        return makeResult(query_status::not_found, view.host + " remembers no failure of request " + words.back() + "; it remembers all of them " + reach);
    }
    query_result result;
    query_table table{
        "request " + words.back(), {"time_ms", "place", "route", "service", "outcome", "reason", "status", "tried", "held_ms", "configuration"}, {}};
    for (const remembered_request &known : found) {
        table.rows.push_back(rowOf(known));
        result.summary += (result.summary.empty() ? "" : "; then ") + explain(known);
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

query_row rowOf(const seen_host &seen)
{
    return {seen.host,
            seen.dataCenter,
            seen.service,
            seen.link,
            std::string(toString(seen.report.server)),
            static_cast<std::int64_t>(seen.report.leaving ? 1 : 0),
            static_cast<std::int64_t>(seen.report.inUse),
            static_cast<std::int64_t>(seen.report.waiting),
            static_cast<std::int64_t>(seen.report.limit),
            static_cast<std::int64_t>(seen.report.configurationVersion)};
}

query_result showHosts(const query_words &, const sidecar_view &view)
{
    query_result result = makeResult(query_status::ok, std::to_string(view.hosts.size()) + " other hosts are known");
    query_table table{"hosts", {"host", "data_center", "service", "link", "server", "leaving", "in_use", "waiting", "limit", "configuration"}, {}};
    for (const seen_host &seen : view.hosts) {
        table.rows.push_back(rowOf(seen));
    }
    result.tables.push_back(std::move(table));
    return result;
}

query_result showGate(const query_words &, const sidecar_view &view)
{
    return makeResult(query_status::ok,
                      "server " + std::string(toString(view.own.server)) + "; " + std::to_string(view.own.inUse) + " of " + std::to_string(view.own.limit)
                          + " slots in use, " + std::to_string(view.own.waiting) + " waiting; mean run " + std::to_string(view.own.meanRun.count) + " ms");
}

query_result showHelp(const query_words &words, const sidecar_view &view);

constexpr std::array<query_form, 5> forms = {{
    {"why request ID", "Tells how this host ended a request that failed or was refused.", whyRequest},
    {"show in force", "Tells which configuration is in force on this host.", showInForce},
    {"show hosts", "Lists the other hosts as this one sees them.", showHosts},
    {"show gate", "Tells how busy this host's backend server is.", showGate},
    {"help", "Lists these lines.", showHelp},
}};

query_result showHelp(const query_words &, const sidecar_view &)
{
    query_result result = makeResult(query_status::ok, "what a sidecar answers");
    query_table table{"lines", {"line", "help"}, {}};
    for (const query_form &form : forms) {
        table.rows.push_back({std::string(form.form), std::string(form.help)});
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

bool fits(const query_words &words, std::string_view form)
{
    const query_words expected = splitWords(form);
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
    for (const query_form &form : forms) {
        if (fits(words, form.form)) {
            return form.answer(words, view);
        }
    }
    return makeResult(query_status::usage, "a sidecar doesn't know this line; see `help`");
}

} // namespace cicadamux
