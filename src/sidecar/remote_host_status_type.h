/** @file remote_host_status_type.h Status of another host as seen from this one, for operator queries. */

#pragma once

#include "link/link_type.h"

#include <string>

namespace cicadamux
{

struct remote_host_status {
    std::string host;
    std::string dataCenter;
    std::string service;
    std::string link; ///< `up`, `suspect` or `down`.
    host_report report; ///< Last report received since the link came up.
};

} // namespace cicadamux
