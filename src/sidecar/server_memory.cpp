/** @file server_memory.cpp Remembers what the backend servers of other hosts have stated about themselves. */

#include "sidecar/server_memory_base.h"

namespace cicadamux
{

namespace
{
constexpr std::size_t maxServers = 4'096; ///< About 200 KB; servers that state nothing take none.
} // namespace

void server_memory::record(const server_statement &statement)
{
    const auto found = m_statements.find(statement.server);
    if (found != m_statements.end()) {
        found->second.leaving = found->second.leaving || statement.leaving;
        if (statement.isHeard) {
            found->second.maxRate = statement.maxRate;
        }
        return;
    }
    if (statement.isEmpty()) {
        return;
    }
    if (m_statements.size() >= maxServers) {
        m_statements.erase(m_order.front());
        m_order.pop_front();
    }
    m_statements.emplace(statement.server, statement);
    m_order.push_back(statement.server);
}

const server_statement *server_memory::find(server_incarnation server) const
{
    const auto found = m_statements.find(server);
    return found == m_statements.end() || found->second.isEmpty() ? nullptr : &found->second;
}

} // namespace cicadamux
