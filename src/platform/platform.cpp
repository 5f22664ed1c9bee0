/** @file platform.cpp Names of the platform's failures. */

#include "platform/platform_type.h"

namespace cicadamux
{

std::string_view toString(platform_failure failure)
{
    switch (failure) {
    case platform_failure::none:
        return "none";
    case platform_failure::unreachable:
        return "unreachable";
    case platform_failure::timeout:
        return "timeout";
    case platform_failure::connection_lost:
        return "connection_lost";
    case platform_failure::bad_answer:
        return "bad_answer";
    case platform_failure::conflict:
        return "conflict";
    case platform_failure::not_found:
        return "not_found";
    case platform_failure::cursor_too_old:
        return "cursor_too_old";
    case platform_failure::over_budget:
        return "over_budget";
    case platform_failure::too_large:
        return "too_large";
    }
    return "unnamed";
}

} // namespace cicadamux
