/** @file store.cpp Names of failures of calls to the platform. */

#include "store/store_type.h"

namespace cicadamux
{

std::string_view toString(store_failure failure)
{
    switch (failure) {
    case store_failure::none:
        return "none";
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::timeout:
        return "timeout";
    case store_failure::connection_lost:
        return "connection_lost";
    case store_failure::bad_answer:
        return "bad_answer";
    case store_failure::conflict:
        return "conflict";
    case store_failure::not_found:
        return "not_found";
    case store_failure::cursor_too_old:
        return "cursor_too_old";
    case store_failure::over_budget:
        return "over_budget";
    case store_failure::rejected:
        return "rejected";
    case store_failure::too_large:
        return "too_large";
    }
    return "unnamed";
}

} // namespace cicadamux
