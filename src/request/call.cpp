/** @file call.cpp Construction of call results. */

#include "request/call_type.h"

#include <utility>

namespace cicadamux
{

call_result makeRefused(refusal_detail detail, std::uint32_t retriesUnspent)
{
    call_result result;
    result.outcome = outcomeOf(detail.reason);
    result.detail = std::move(detail);
    result.retriesUnspent = retriesUnspent;
    return result;
}

} // namespace cicadamux
