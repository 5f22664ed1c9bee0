/** @file seen_host_type.h Another host as this one sees it, for operators. */

#pragma once

#include "link/link_type.h"

#include <string>

namespace cicadamux
{

struct seen_host {
    std::string host;
    std::string dataCenter;
    std::string service;
    std::string link; ///< `up`, `suspect` or `down`.
    host_report report; ///< Its last one since the link came up.
};

} // namespace cicadamux
