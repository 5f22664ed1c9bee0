/** @file admin_client_func.h Sends queries to a daemon's admin listener. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <string>

namespace cicadamux
{

/** The stage at which a query failed. */
enum class admin_failure : std::uint8_t {
    bad_address, ///< The address isn't of the form `IP:port`.
    not_connected, ///< No connection could be established; nothing was sent.
    no_answer ///< The query was sent, but no complete answer with status 200 was received; a change may have been applied.
};

/** A query to a daemon failed. */
class admin_error : public error
{
public:
    admin_error(admin_failure failure, const std::string &text)
        : error(text)
        , m_failure(failure)
    {
    }

    admin_failure failure() const
    {
        return m_failure;
    }

private:
    admin_failure m_failure;
};

/**
 * Sends a query as `POST /query` and waits for the answer.
 * @return The answer as JSON, at most maxAnswerSize bytes.
 * @throws admin_error
 */
std::string queryAdmin(const std::string &address, const std::string &line, clock_ms timeLimit);

constexpr std::size_t maxAnswerSize = 64'000'000; ///< Bytes.

} // namespace cicadamux
