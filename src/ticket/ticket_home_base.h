/** @file ticket_home_base.h Keeps the state of the tickets issued for one incarnation of a daemon. */

#pragma once

#include "request/call_type.h"
#include "ticket/ticket_type.h"

#include <functional>
#include <memory>

namespace cicadamux
{

/** What to do with a call that carries a ticket. */
enum class ticket_verdict : std::uint8_t {
    run, ///< First use: run the call, then report to finish(), notRun() or refuse().
    repeat, ///< The call has already ended; `result` is its outcome.
    wait, ///< The call is running; the waiter is called when it ends.
    refuse ///< Not to be run here, for `reason`.
};

/** Result of ticket_home::begin(). */
struct ticket_begin {
    ticket_verdict verdict = ticket_verdict::refuse;
    outcome_reason reason = outcome_reason::none; ///< For `refuse`.
    std::shared_ptr<const call_result> result; ///< For `repeat`.
};

/** Called with the outcome of a running call. */
using ticket_waiter = std::function<void(std::shared_ptr<const call_result>)>;

/**
 * Decides about the tickets of this daemon. Thread-safe.
 * Its memory is bounded: when it is full, new tickets are refused as `daemon_busy`; no ticket is forgotten before its expiry.
 */
class ticket_home
{
public:
    ticket_home(std::string host, incarnation_id incarnation, std::size_t capacity);
    ~ticket_home();
    ticket_home(const ticket_home &) = delete;
    ticket_home &operator=(const ticket_home &) = delete;

    /**
     * Decides what to do with a call. The caller has already checked that the ticket was issued for the call's service and operation.
     * @param wallNow Wall clock, milliseconds since the Unix epoch.
     */
    ticket_begin begin(const ticket &subject, clock_ms wallNow, ticket_waiter waiter);

    /**
     * Checks the ticket again, immediately before the first byte of the call is sent: the call may have waited since begin().
     * @return False if the ticket has been voided or has expired meanwhile; the call must not be sent then.
     */
    bool confirmSend(const ticket &subject, clock_ms wallNow);

    /** Records the outcome of a call that was sent. Repeats get this outcome from now on. */
    void finish(const ticket &subject, std::shared_ptr<const call_result> result);

    /** Records that the call was not sent, without its caller being told so: the ticket may be used again until it expires. Waiters get `result`. */
    void notRun(const ticket &subject, std::shared_ptr<const call_result> result);

    /**
     * Records that the call was not sent, and that its caller is told so. This closes the ticket permanently, so that an earlier attempt of the
     * same call that is still in transit cannot run after its caller was told `not run`. Waiters get `result`.
     */
    void refuse(const ticket &subject, std::shared_ptr<const call_result> result);

    /** Voids a ticket. @return True if its operation is known not to have run and can no longer run. */
    bool voidTicket(const ticket &subject, clock_ms wallNow);

    /** Evicts the records of tickets whose retention has ended. */
    void tick(clock_ms wallNow);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
