/** @file member.cpp Names of backend server states. */

#include "membership/member_type.h"

namespace cicadamux
{

std::string_view toString(server_state state)
{
    switch (state) {
    case server_state::serving:
        return "serving";
    case server_state::draining:
        return "draining";
    case server_state::absent:
        break;
    }
    return "absent";
}

} // namespace cicadamux
