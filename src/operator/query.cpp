/** @file query.cpp Parses queries and dispatches them. */

#include "operator/query_func.h"

#include "core/log_func.h"
#include "operator/command_parser_func.h"
#include "operator/query_run_func.h"

#include <boost/json.hpp>

#include <atomic>
#include <exception>

namespace cicadamux
{

namespace
{
using namespace detail; // NOLINT(google-build-using-namespace): the queries are implemented there.

query_result makeParseFailure(const parse_error &failure)
{
    query_result result = makeResult(query_status::usage, "the query is invalid; nothing was done");
    result.parseFault = failure.fault();
    return result;
}

/** Wraps a handler so that only the first answer reaches it. */
query_handler answerOnce(query_handler handler)
{
    const auto isAnswered = std::make_shared<std::atomic<bool>>(false);
    return [isAnswered, handler = std::move(handler)](std::string json) {
        if (!isAnswered->exchange(true)) {
            handler(std::move(json));
        }
    };
}

/** Starts the execution of a command. */
struct command_starter {
    query_run run;

    void operator()(const show_refusals_command &query)
    {
        fleetRefusals(query, std::move(run));
    }
    void operator()(const why_refused_command &query)
    {
        fleetWhy(query, std::move(run));
    }
    void operator()(const show_members_command &query)
    {
        run.finish(showMembers(query, *run.hooks));
    }
    void operator()(const show_upstreams_command &query)
    {
        fleetUpstreams(query, std::move(run));
    }
    void operator()(const show_limits_command &query)
    {
        fleetLimits(query, std::move(run));
    }
    void operator()(const show_policy_command &query)
    {
        run.finish(showPolicy(query, *run.hooks));
    }
    void operator()(const compare_policy_command &query)
    {
        run.finish(comparePolicy(query, *run.hooks));
    }
    void operator()(const show_in_force_command &query)
    {
        fleetInForce(query, std::move(run));
    }
    void operator()(const drain_command &query)
    {
        logEvent(log_level::info, "operator_drain", {{"subject", query.host}, {"draining", query.draining}});
        fleetDrain(query, std::move(run));
    }
    void operator()(const help_command & /*query*/)
    {
        run.finish(showHelp());
    }
    void operator()(const change_command &change)
    {
        runChange(change, std::move(run));
    }
};

/** Answers the commands that a daemon answers from its own state. */
struct local_answerer {
    const operator_hooks &hooks;

    query_result operator()(const show_refusals_command &query) const
    {
        return localRefusals(query, hooks);
    }
    query_result operator()(const why_refused_command &query) const
    {
        return localWhy(query, hooks);
    }
    query_result operator()(const show_upstreams_command &query) const
    {
        return localUpstreams(query, hooks);
    }
    query_result operator()(const show_limits_command &query) const
    {
        return localLimits(query, hooks);
    }
    query_result operator()(const show_in_force_command &query) const
    {
        return localInForce(query, hooks);
    }
    query_result operator()(const drain_command &query) const
    {
        return localDrain(query, hooks);
    }
    template<typename Other>
    query_result operator()(const Other & /*query*/) const
    {
        return makeResult(query_status::usage, "this query can't be answered by one daemon alone");
    }
};

query_result answerLocally(std::string_view query, const operator_hooks &hooks)
{
    if (!query.starts_with(localPrefix)) {
        return makeResult(query_status::usage, "a query from another daemon begins with `local`");
    }
    try {
        return std::visit(local_answerer{hooks}, parseCommand(query.substr(localPrefix.size())));
    } catch (const parse_error &exception) {
        return makeParseFailure(exception);
    }
}
} // namespace

void runQuery(std::string_view text, std::shared_ptr<const operator_hooks> hooks, query_handler handler)
{
    query_run run{std::move(hooks), std::string(text), answerOnce(std::move(handler))};
    command parsed;
    try {
        parsed = parseCommand(text);
    } catch (const parse_error &exception) {
        run.finish(makeParseFailure(exception));
        return;
    }
    const query_handler answer = run.handler;
    try {
        std::visit(command_starter{std::move(run)}, parsed);
    } catch (const std::exception &exception) { // A query must not terminate the daemon.
        logEvent(log_level::error, "query_failed", {{"error", exception.what()}});
        answer(formatResultJson(makeResult(query_status::failed, std::string("the daemon could not answer: ") + exception.what())));
    }
}

std::optional<std::string> readQueryBody(std::string_view body)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(boost::json::string_view(body.data(), body.size()), failure);
    const boost::json::object *object = failure ? nullptr : parsed.if_object();
    const boost::json::value *query = object == nullptr ? nullptr : object->if_contains("query");
    if (query == nullptr || !query->is_string() || object->size() != 1) {
        return std::nullopt;
    }
    return std::string(query->get_string());
}

query_result malformedQueryBody()
{
    return makeResult(query_status::usage, "expected a JSON object with only the string `query`");
}

void runQueryBody(std::string_view body, std::shared_ptr<const operator_hooks> hooks, query_handler handler)
{
    const std::optional<std::string> query = readQueryBody(body);
    if (!query) {
        handler(formatResultJson(malformedQueryBody()));
        return;
    }
    runQuery(*query, std::move(hooks), std::move(handler));
}

std::string answerAsk(std::string_view query, const operator_hooks &hooks)
{
    return formatResultJson(answerLocally(query, hooks));
}

} // namespace cicadamux
