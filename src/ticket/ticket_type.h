/** @file ticket_type.h Tickets of at-most-once operations. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstdint>
#include <string>

namespace cicadamux
{

constexpr std::int64_t ticketLifetime = 30'000; ///< Milliseconds from issue to expiry; the home's clock decides when a ticket has expired.

/** Permission to run one at-most-once operation once, at one incarnation of one daemon. */
struct ticket {
    std::uint64_t nonce = 0; ///< Random; unique.
    std::string homeHost; ///< The only host that may run the operation.
    incarnation_id homeIncarnation; ///< Incarnation of that host's daemon.
    std::string service;
    std::string operation;
    clock_ms expiry; ///< Wall clock, milliseconds since the Unix epoch.
};

/** A ticket is missing or invalid. */
class ticket_error : public error
{
public:
    ticket_error(outcome_reason why, const std::string &text)
        : error(text)
        , m_reason(why)
    {
    }

    /** @return `ticket_required` or `ticket_invalid`. */
    outcome_reason reason() const
    {
        return m_reason;
    }

private:
    outcome_reason m_reason;
};

} // namespace cicadamux
