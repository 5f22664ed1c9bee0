/** @file store_transport_base.h Calls to an object store: call budget, connection reuse, and failures. */

#pragma once

#include "store/call_budget_base.h"
#include "store/store_connection_base.h"
#include "store/store_http_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace cicadamux::detail
{

constexpr std::size_t maxIdleConnections = 8;

using connection_pointer = std::shared_ptr<store_connection>;

/** An open connection, kept for the next call with the same purpose. */
struct idle_connection {
    std::string purpose;
    connection_pointer connection;
};

/**
 * State shared by a client and its pending calls; lives until the last call has ended.
 * A connection is reused only for repetitions of the same request (its purpose), and each write has one of its own: a
 * duplicated or late answer from the platform is then at worst an outdated answer to the same request, never one to another.
 */
class store_transport : public std::enable_shared_from_this<store_transport>
{
public:
    store_transport(boost::asio::io_context &context, store_http_settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_budget(m_settings.callsPerMinute, steadyNow())
    {
    }

    /** @param purpose Identifies calls that may share a connection; empty: the connection is used for this call only. */
    void call(const std::string &purpose, const store_request &request, store_answer_handler handler)
    {
        if (!takeBudget()) {
            fail(store_failure::over_budget, std::move(handler));
            return;
        }
        const connection_pointer connection = acquireConnection(purpose);
        connection->call(request, [self = shared_from_this(), connection, purpose, handler = std::move(handler)](store_answer answer) {
            self->ended(connection, purpose, answer.isReusable);
            if (!self->m_isStopped) {
                handler(std::move(answer));
            }
        });
    }

    /** Ends a call with a failure without sending it. */
    void fail(store_failure failure, store_answer_handler handler)
    {
        boost::asio::post(m_context, [self = shared_from_this(), failure, handler = std::move(handler)] {
            if (!self->m_isStopped) {
                handler({failure, 0, {}, {}, false});
            }
        });
    }

    void stop()
    {
        m_isStopped = true;
        const std::lock_guard lock(m_mutex);
        m_idle.clear();
        for (const connection_pointer &connection : m_busy) {
            connection->close();
        }
    }

    const store_http_settings &settings() const
    {
        return m_settings;
    }

private:
    bool takeBudget()
    {
        const std::lock_guard lock(m_mutex);
        return m_budget.take(steadyNow());
    }

    connection_pointer acquireConnection(const std::string &purpose)
    {
        const std::lock_guard lock(m_mutex);
        connection_pointer acquired;
        for (auto idle = m_idle.begin(); idle != m_idle.end() && !acquired; ++idle) {
            if (!purpose.empty() && idle->purpose == purpose) {
                acquired = idle->connection;
                m_idle.erase(idle);
                break;
            }
        }
        if (!acquired) {
            acquired = makeStoreConnection(m_context, m_settings.address);
        }
        m_busy.insert(acquired);
        return acquired;
    }

    void ended(const connection_pointer &connection, const std::string &purpose, bool isReusable)
    {
        const std::lock_guard lock(m_mutex);
        m_busy.erase(connection);
        if (!isReusable || purpose.empty() || m_isStopped) {
            connection->close();
            return;
        }
        m_idle.push_back({purpose, connection});
        if (m_idle.size() > maxIdleConnections) {
            m_idle.front().connection->close();
            m_idle.pop_front();
        }
    }

    boost::asio::io_context &m_context;
    store_http_settings m_settings;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex; ///< Guards the members below.
    call_budget m_budget;
    std::deque<idle_connection> m_idle; ///< Longest idle first.
    std::set<connection_pointer> m_busy;
};

/** Makes a handler that passes on a failed HTTP call as its failure, and decodes an answered one with the reader. */
template<typename Value, typename Reader>
store_answer_handler makeAnswerHandler(store_handler<Value> handler, Reader reader)
{
    return [handler = std::move(handler), reader = std::move(reader)](const store_answer &answer) {
        if (answer.failure != store_failure::none) {
            handler({answer.failure, 0, {}});
        } else {
            handler(reader(answer));
        }
    };
}

} // namespace cicadamux::detail
