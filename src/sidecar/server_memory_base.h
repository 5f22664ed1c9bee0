/** @file server_memory_base.h Remembers what the backend servers of other hosts have stated about themselves. */

#pragma once

#include "link/link_type.h"

#include <deque>
#include <unordered_map>

namespace cicadamux
{

/**
 * A statement binds each host that has passed on an answer with it, also after the sidecar beside the server has restarted
 * and forgotten it. Bounded: the oldest servers are forgotten first. Not thread-safe.
 */
class server_memory
{
public:
    /** Adds to what is known of the statement's server; a rate counts only if it was heard. */
    void record(const server_statement &statement);

    /** @return Null if the server has stated nothing. */
    const server_statement *find(server_incarnation server) const;

private:
    std::unordered_map<server_incarnation, server_statement> m_statements;
    std::deque<server_incarnation> m_order; ///< Of the first record of each server.
};

} // namespace cicadamux
