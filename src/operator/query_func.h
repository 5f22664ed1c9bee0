/** @file query_func.h Answering operators' queries. */

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

constexpr std::size_t maxQueryLength = 1'100'000; ///< Bytes of a query; one may hold a whole policy.

/** Called once with the answer as JSON (docs/LANGUAGE.md). May be called on any thread, also before runQuery() returns. */
using query_handler = std::function<void(std::string json)>;

/**
 * Runs a query of an operator, over the whole fleet where it concerns the fleet: `POST /query` on `admin` with {"query":"..."}.
 * Never throws: what is wrong with the query is told in the answer.
 */
void runQuery(std::string_view text, std::shared_ptr<const operator_hooks> hooks, query_handler handler);

/** Reads the body of `POST /query`. @return The query; nothing if the body is malformed. */
std::optional<std::string> readQueryBody(std::string_view body);

/** @return The answer to a malformed body. */
query_result malformedQueryBody();

/** Reads the body of `POST /query` and runs what it asks; a malformed body is answered as a query that isn't understood. */
void runQueryBody(std::string_view body, std::shared_ptr<const operator_hooks> hooks, query_handler handler);

/** Answers another daemon's question (gRPC `Ask`) from this daemon alone. Never throws. @return JSON. */
std::string answerAsk(std::string_view query, const operator_hooks &hooks);

} // namespace cicadamux
