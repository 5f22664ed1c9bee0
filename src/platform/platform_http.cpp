/** @file platform_http.cpp The platform's client over HTTP: budget, connections, typed answers. */

#include "platform/platform_http_func.h"

#include "platform/call_budget_base.h"
#include "platform/platform_answer_func.h"
#include "platform/platform_connection_base.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <set>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxObjectAnswer = 2 * maxObjectSize; ///< Bytes: the value, escaped, and what stands around it.
constexpr std::size_t maxListAnswer = 64 * maxObjectSize; ///< Bytes.
constexpr std::size_t maxWriteAnswer = 4'096; ///< Bytes.
constexpr std::size_t maxIdleConnections = 8;

using connection_pointer = std::shared_ptr<detail::platform_connection>;

/** An open connection that waits for the next call of its purpose. */
struct idle_connection {
    std::string purpose;
    connection_pointer connection;
};

/**
 * What outlives the client until the last call has ended.
 * A kept connection only ever asks one question (its purpose), and a write has one of its own: an answer that
 * a platform sends twice or late is then at worst an old answer to the same question, never another call's.
 */
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(boost::asio::io_context &context, platform_http_settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_budget(m_settings.callsPerMinute, steadyNow())
    {
    }

    /** @param purpose Which calls may share a connection; empty: this call has one of its own. */
    void call(const std::string &purpose, const detail::platform_request &request, detail::platform_answer_handler handler)
    {
        if (!takeBudget()) {
            fail(platform_failure::over_budget, std::move(handler));
            return;
        }
        const connection_pointer connection = take(purpose);
        connection->call(request, [self = shared_from_this(), connection, purpose, handler = std::move(handler)](detail::platform_answer answer) {
            self->ended(connection, purpose, answer.isReusable);
            if (!self->m_isStopped) {
                handler(std::move(answer));
            }
        });
    }

    /** Ends a call that isn't sent. */
    void fail(platform_failure failure, detail::platform_answer_handler handler)
    {
        boost::asio::post(m_context, [self = shared_from_this(), failure, handler = std::move(handler)] {
            if (!self->m_isStopped) {
                handler({failure, 0, {}, false});
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

    const platform_http_settings &settings() const
    {
        return m_settings;
    }

private:
    bool takeBudget()
    {
        const std::lock_guard lock(m_mutex);
        return m_budget.take(steadyNow());
    }

    connection_pointer take(const std::string &purpose)
    {
        const std::lock_guard lock(m_mutex);
        connection_pointer taken;
        for (auto idle = m_idle.begin(); idle != m_idle.end() && !taken; ++idle) {
            if (!purpose.empty() && idle->purpose == purpose) {
                taken = idle->connection;
                m_idle.erase(idle);
                break;
            }
        }
        if (!taken) {
            taken = detail::makePlatformConnection(m_context, m_settings.address);
        }
        m_busy.insert(taken);
        return taken;
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
    platform_http_settings m_settings;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex; ///< Guards what follows.
    call_budget m_budget;
    std::deque<idle_connection> m_idle; ///< The longest idle first.
    std::set<connection_pointer> m_busy;
};

class platform_http_client : public platform_client
{
public:
    platform_http_client(boost::asio::io_context &context, platform_http_settings settings)
        : m_pool(std::make_shared<connection_pool>(context, std::move(settings)))
    {
    }

    ~platform_http_client() override
    {
        m_pool->stop();
    }

    platform_http_client(const platform_http_client &) = delete;
    platform_http_client &operator=(const platform_http_client &) = delete;

    void get(std::string_view kind, std::string_view name, platform_handler<platform_object> handler) override;
    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, platform_handler<std::uint64_t> handler) override;
    void list(std::string_view kind, platform_handler<platform_changes> handler) override;
    void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, platform_handler<platform_changes> handler) override;

private:
    detail::platform_request makeRequest(std::string method, std::string target, std::size_t maxAnswerBytes) const
    {
        return {std::move(method), std::move(target), {}, {}, m_pool->settings().timeout, maxAnswerBytes};
    }

    std::shared_ptr<connection_pool> m_pool;
};

/** Turns a failed HTTP call into a typed result, and leaves an answered one to its reader. */
template<typename Value, typename Reader>
detail::platform_answer_handler makeAnswerHandler(platform_handler<Value> handler, Reader reader)
{
    return [handler = std::move(handler), reader = std::move(reader)](const detail::platform_answer &answer) {
        if (answer.failure != platform_failure::none) {
            handler({answer.failure, 0, {}});
        } else {
            handler(reader(answer));
        }
    };
}

void platform_http_client::get(std::string_view kind, std::string_view name, platform_handler<platform_object> handler)
{
    const std::string target = "/objects/" + std::string(kind) + "/" + std::string(name);
    const auto reader = [kind = std::string(kind), name = std::string(name)](const detail::platform_answer &answer) {
        return readObjectAnswer(answer.status, answer.body, kind, name);
    };
    m_pool->call("get " + target, makeRequest("GET", target, maxObjectAnswer), makeAnswerHandler<platform_object>(std::move(handler), reader));
}

void platform_http_client::put(
    std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, platform_handler<std::uint64_t> handler)
{
    const auto reader = [ifVersion](const detail::platform_answer &answer) {
        return readWriteAnswer(answer.status, answer.body, ifVersion);
    };
    auto answerHandler = makeAnswerHandler<std::uint64_t>(std::move(handler), reader);
    if (value.size() > maxObjectSize) {
        m_pool->fail(platform_failure::too_large, std::move(answerHandler));
        return;
    }
    auto request = makeRequest("PUT", "/objects/" + std::string(kind) + "/" + std::string(name), maxWriteAnswer);
    request.ifVersion = std::to_string(ifVersion);
    request.body = value;
    m_pool->call({}, request, std::move(answerHandler));
}

void platform_http_client::list(std::string_view kind, platform_handler<platform_changes> handler)
{
    const std::string target = "/objects/" + std::string(kind);
    const auto reader = [kind = std::string(kind)](const detail::platform_answer &answer) {
        return readListAnswer(answer.status, answer.body, kind);
    };
    m_pool->call("list " + target, makeRequest("GET", target, maxListAnswer), makeAnswerHandler<platform_changes>(std::move(handler), reader));
}

void platform_http_client::watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, platform_handler<platform_changes> handler)
{
    const std::string path = "/watch/" + std::string(kind);
    auto request = makeRequest("GET", path + "?cursor=" + std::to_string(cursor) + "&wait_ms=" + std::to_string(wait.count), maxListAnswer);
    request.timeout += wait;
    const auto reader = [kind = std::string(kind), cursor](const detail::platform_answer &answer) {
        return readWatchAnswer(answer.status, answer.body, kind, cursor);
    };
    m_pool->call("watch " + path, request, makeAnswerHandler<platform_changes>(std::move(handler), reader));
}
} // namespace

std::unique_ptr<platform_client> makePlatformHttpClient(boost::asio::io_context &context, platform_http_settings settings)
{
    return std::make_unique<platform_http_client>(context, std::move(settings));
}

} // namespace cicadamux
