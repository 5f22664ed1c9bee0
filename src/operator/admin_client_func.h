/** @file admin_client_func.h Asks a daemon's admin listener. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <string>

namespace cicadamux
{

/** How far a question came before it failed. */
enum class admin_failure : std::uint8_t {
    bad_address, ///< Not `IP:port`.
    not_connected, ///< Nothing was sent.
    no_answer ///< It was sent, but no whole answer came; a change may have been made.
};

/** A daemon couldn't be asked. */
class admin_error : public error
{
public:
    admin_error(admin_failure why, const std::string &text)
        : error(text)
        , m_failure(why)
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
 * Sends a query to `POST /query` and waits for the answer.
 * @return The answer's JSON, of at most maxAnswerSize bytes.
 * @throws admin_error
 */
std::string askAdmin(const std::string &address, const std::string &line, clock_ms timeLimit);

constexpr std::size_t maxAnswerSize = 64'000'000; ///< Bytes.

} // namespace cicadamux
