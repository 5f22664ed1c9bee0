/** @file upstream_list_base.h Converts the membership view into the upstreams that the router chooses from. */

#pragma once

#include "membership/member_type.h"
#include "routing/router_base.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cicadamux
{

/**
 * Keeps the time since which each upstream has been serving: a member record states only the duration, as of when the record was created.
 * Not thread-safe.
 */
class upstream_list
{
public:
    /** @return The upstreams of a view; members that are dead or have no backend server are left out. */
    std::vector<upstream> update(std::span<const member_record> view, clock_ms now);

private:
    struct known_server {
        incarnation_id incarnation;
        std::string service;
        clock_ms servingSince;

        bool operator==(const known_server &) const = default;
    };

    clock_ms servingSince(const member_record &record, clock_ms now, std::map<std::string, known_server> &updated) const;

    std::map<std::string, known_server> m_known; ///< By host.
};

} // namespace cicadamux
