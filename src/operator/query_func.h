/** @file query_func.h Execution of operators' queries. */

#pragma once

#include "operator/operator_hooks_type.h"
#include "operator/query_result_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

constexpr std::size_t maxQueryLength = 1'100'000; ///< Bytes of a query, which may contain a whole policy.

/** Called once with the answer as JSON. May be called on any thread, also before runQuery() returns. */
using query_handler = std::function<void(std::string json)>;

/**
 * Runs an operator's query, received as `POST /query` on `admin` with {"query":"..."}. Other daemons are queried where necessary.
 * Never throws; errors are reported in the answer.
 */
void runQuery(std::string_view text, std::shared_ptr<const operator_hooks> hooks, query_handler handler);

/** Parses the body of `POST /query`. @return The query; nothing if the body is malformed. */
std::optional<std::string> readQueryBody(std::string_view body);

/** @return The answer to a malformed body. */
query_result malformedQueryBody();

/** Parses the body of `POST /query` and runs the query; a malformed body is answered with `usage`. */
void runQueryBody(std::string_view body, std::shared_ptr<const operator_hooks> hooks, query_handler handler);

/** Answers a query of another daemon (gRPC `Ask`) from this daemon's state. Never throws. @return JSON. */
std::string answerAsk(std::string_view query, const operator_hooks &hooks);

} // namespace cicadamux
