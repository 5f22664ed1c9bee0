/** @file rcu.cpp The only file that includes liburcu; uses its "bulletproof" flavour, which registers threads automatically. */

#include "core/rcu_type.h"

#include <urcu/urcu-bp.h>

namespace cicadamux::detail
{

rcu_read_guard::rcu_read_guard()
{
    urcu_bp_read_lock();
}

rcu_read_guard::~rcu_read_guard()
{
    urcu_bp_read_unlock();
}

void *rcuLoad(void *const *slot)
{
    return rcu_dereference(*slot);
}

void *rcuExchange(void **slot, void *replacement)
{
    return rcu_xchg_pointer(slot, replacement);
}

void rcuWaitForReaders()
{
    urcu_bp_synchronize_rcu();
}

} // namespace cicadamux::detail
