/** @file ticket_home_base.h The memory of one daemon's life about the tickets that name it. */

#pragma once

#include "request/call_type.h"
#include "ticket/ticket_type.h"

#include <functional>
#include <memory>

namespace cicadamux
{

/** What to do with a call that brings a ticket. */
enum class ticket_verdict : std::uint8_t {
    run, ///< First time: run it, then tell finish() or notRun().
    repeat, ///< It has ended: `result` is the outcome.
    wait, ///< It is running: the waiter is called when it ends.
    refuse ///< Not run here; `reason` says why.
};

struct ticket_begin {
    ticket_verdict verdict = ticket_verdict::refuse;
    outcome_reason reason = outcome_reason::none; ///< For `refuse`.
    std::shared_ptr<const call_result> result; ///< For `repeat`.
};

/** Called with the outcome of a running call. */
using ticket_waiter = std::function<void(std::shared_ptr<const call_result>)>;

/** Thread-safe. Bounded: when full, new tickets are refused as `daemon_busy`, never forgotten before their expiry. */
class ticket_home
{
public:
    ticket_home(std::string host, incarnation_id incarnation, std::size_t capacity);
    ~ticket_home();
    ticket_home(const ticket_home &) = delete;
    ticket_home &operator=(const ticket_home &) = delete;

    /**
     * Decides on a call with a ticket that names a service and operation already compared with the call's.
     * @param wallNow Wall clock, milliseconds since the Unix epoch.
     */
    ticket_begin begin(const ticket &subject, clock_ms wallNow, ticket_waiter waiter);

    /**
     * Asked immediately before the first byte goes out, after any pause.
     * @return Whether the ticket may still run; false means that it has been voided or has expired.
     */
    bool confirmSend(const ticket &subject, clock_ms wallNow);

    /** Records the outcome of a call that was sent; repeats get it from now on. */
    void finish(const ticket &subject, std::shared_ptr<const call_result> result);

    /** Records that nothing was sent, and that nobody was told so: the ticket may be used again until it expires. Waiters are told `result`. */
    void notRun(const ticket &subject, std::shared_ptr<const call_result> result);

    /**
     * Records that nothing was sent, and that the caller is told so: the ticket is closed for good, so that an earlier attempt of the same call
     * which is still on its way can't run after its caller was told `not run`. Waiters are told `result`.
     */
    void refuse(const ticket &subject, std::shared_ptr<const call_result> result);

    /** @return True if the ticket has surely not run and never will. */
    bool voidTicket(const ticket &subject, clock_ms wallNow);

    /** Forgets tickets that expired long ago. */
    void tick(clock_ms wallNow);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
