/** @file query.cpp Parses a query and has it answered. */

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
using namespace detail; // NOLINT(google-build-using-namespace): the steps of a query live there.

query_result notUnderstood(const parse_error &wrong)
{
    query_result result = makeAnswer(query_status::usage, "the query wasn't understood; nothing was done");
    result.parseFault = wrong.fault();
    return result;
}

/** Drops every answer after the first. */
query_handler answerOnce(query_handler handler)
{
    const auto isAnswered = std::make_shared<std::atomic<bool>>(false);
    return [isAnswered, handler = std::move(handler)](std::string json) {
        if (!isAnswered->exchange(true)) {
            handler(std::move(json));
        }
    };
}

/** Starts each kind of command. */
struct command_starter {
    query_run run;

    void operator()(const show_refusals_command &wanted)
    {
        fleetRefusals(wanted, std::move(run));
    }
    void operator()(const why_refused_command &wanted)
    {
        fleetWhy(wanted, std::move(run));
    }
    void operator()(const show_members_command &wanted)
    {
        run.finish(showMembers(wanted, *run.hooks));
    }
    void operator()(const show_upstreams_command &wanted)
    {
        fleetUpstreams(wanted, std::move(run));
    }
    void operator()(const show_limits_command &wanted)
    {
        fleetLimits(wanted, std::move(run));
    }
    void operator()(const show_policy_command &wanted)
    {
        run.finish(showPolicy(wanted, *run.hooks));
    }
    void operator()(const compare_policy_command &wanted)
    {
        run.finish(comparePolicy(wanted, *run.hooks));
    }
    void operator()(const show_in_force_command &wanted)
    {
        fleetInForce(wanted, std::move(run));
    }
    void operator()(const drain_command &wanted)
    {
        logEvent(log_level::info, "operator_drain", {{"subject", wanted.host}, {"draining", wanted.draining}});
        fleetDrain(wanted, std::move(run));
    }
    void operator()(const help_command & /*wanted*/)
    {
        run.finish(showHelp());
    }
    void operator()(const change_command &wanted)
    {
        runChange(wanted, std::move(run));
    }
};

/** Answers the commands that one daemon answers of itself. */
struct local_answerer {
    const operator_hooks &hooks;

    query_result operator()(const show_refusals_command &wanted) const
    {
        return localRefusals(wanted, hooks);
    }
    query_result operator()(const why_refused_command &wanted) const
    {
        return localWhy(wanted, hooks);
    }
    query_result operator()(const show_upstreams_command &wanted) const
    {
        return localUpstreams(wanted, hooks);
    }
    query_result operator()(const show_limits_command &wanted) const
    {
        return localLimits(wanted, hooks);
    }
    query_result operator()(const show_in_force_command &wanted) const
    {
        return localInForce(wanted, hooks);
    }
    query_result operator()(const drain_command &wanted) const
    {
        return localDrain(wanted, hooks);
    }
    template<typename Other>
    query_result operator()(const Other & /*wanted*/) const
    {
        return makeAnswer(query_status::usage, "not a question for one daemon alone");
    }
};

query_result answerLocally(std::string_view query, const operator_hooks &hooks)
{
    if (!query.starts_with(localPrefix)) {
        return makeAnswer(query_status::usage, "a question to one daemon begins with `local`");
    }
    try {
        return std::visit(local_answerer{hooks}, parseCommand(query.substr(localPrefix.size())));
    } catch (const parse_error &wrong) {
        return notUnderstood(wrong);
    }
}
} // namespace

void runQuery(std::string_view text, std::shared_ptr<const operator_hooks> hooks, query_handler handler)
{
    query_run run{std::move(hooks), std::string(text), answerOnce(std::move(handler))};
    command parsed;
    try {
        parsed = parseCommand(text);
    } catch (const parse_error &wrong) {
        run.finish(notUnderstood(wrong));
        return;
    }
    const query_handler answer = run.handler;
    try {
        std::visit(command_starter{std::move(run)}, parsed);
    } catch (const std::exception &failed) { // A query never ends the daemon.
        logEvent(log_level::error, "query_failed", {{"error", failed.what()}});
        answer(formatResultJson(makeAnswer(query_status::failed, std::string("the daemon couldn't answer: ") + failed.what())));
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
    return makeAnswer(query_status::usage, "expected a JSON object with the text `query` and nothing else");
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
