/** @file store_http.cpp HTTP client of the object store: builds requests and decodes answers. */

#include "store/store_http_func.h"

#include "store/store_answer_func.h"
#include "store/store_transport_base.h"

namespace cicadamux
{

namespace
{
constexpr std::size_t maxObjectAnswer = 2 * maxObjectSize; ///< Bytes; allows for escaping of the value and for the other members.
constexpr std::size_t maxListAnswer = 64 * maxObjectSize; ///< Bytes.
constexpr std::size_t maxWriteAnswer = 4'096; ///< Bytes.

class http_object_store : public object_store
{
public:
    http_object_store(boost::asio::io_context &context, store_http_settings settings)
        : m_transport(std::make_shared<detail::store_transport>(context, std::move(settings)))
    {
    }

    ~http_object_store() override
    {
        m_transport->stop();
    }

    http_object_store(const http_object_store &) = delete;
    http_object_store &operator=(const http_object_store &) = delete;

    void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) override;
    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;
    void remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;
    void list(std::string_view kind, store_handler<store_changes> handler) override;
    void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler) override;

private:
    detail::store_request makeRequest(std::string method, std::string target, std::size_t maxAnswerBytes) const
    {
        return {std::move(method), std::move(target), {}, {}, m_transport->settings().timeout, maxAnswerBytes, {}};
    }

    std::shared_ptr<detail::store_transport> m_transport;
};

void http_object_store::get(std::string_view kind, std::string_view name, store_handler<stored_object> handler)
{
    const std::string target = "/objects/" + std::string(kind) + "/" + std::string(name);
    const auto reader = [kind = std::string(kind), name = std::string(name)](const detail::store_answer &answer) {
        return readObjectAnswer(answer.status, answer.body, kind, name);
    };
    m_transport->call("get " + target, makeRequest("GET", target, maxObjectAnswer), detail::makeAnswerHandler<stored_object>(std::move(handler), reader));
}

void http_object_store::put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    const auto reader = [ifVersion](const detail::store_answer &answer) {
        return readWriteAnswer(answer.status, answer.body, ifVersion);
    };
    auto answerHandler = detail::makeAnswerHandler<std::uint64_t>(std::move(handler), reader);
    if (value.size() > maxObjectSize) {
        m_transport->fail(store_failure::too_large, std::move(answerHandler));
        return;
    }
    auto request = makeRequest("PUT", "/objects/" + std::string(kind) + "/" + std::string(name), maxWriteAnswer);
    request.ifVersion = std::to_string(ifVersion);
    request.body = value;
    m_transport->call({}, request, std::move(answerHandler));
}

void http_object_store::remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    const auto reader = [ifVersion](const detail::store_answer &answer) {
        return readWriteAnswer(answer.status, answer.body, ifVersion);
    };
    auto request = makeRequest("DELETE", "/objects/" + std::string(kind) + "/" + std::string(name), maxWriteAnswer);
    request.ifVersion = std::to_string(ifVersion);
    m_transport->call({}, request, detail::makeAnswerHandler<std::uint64_t>(std::move(handler), reader));
}

void http_object_store::list(std::string_view kind, store_handler<store_changes> handler)
{
    const std::string target = "/objects/" + std::string(kind);
    const auto reader = [kind = std::string(kind)](const detail::store_answer &answer) {
        return readListAnswer(answer.status, answer.body, kind);
    };
    m_transport->call("list " + target, makeRequest("GET", target, maxListAnswer), detail::makeAnswerHandler<store_changes>(std::move(handler), reader));
}

void http_object_store::watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler)
{
    const std::string path = "/watch/" + std::string(kind);
    auto request = makeRequest("GET", path + "?cursor=" + std::to_string(cursor) + "&wait_ms=" + std::to_string(wait.count), maxListAnswer);
    request.timeout += wait;
    const auto reader = [kind = std::string(kind), cursor](const detail::store_answer &answer) {
        return readWatchAnswer(answer.status, answer.body, kind, cursor);
    };
    m_transport->call("watch " + path, request, detail::makeAnswerHandler<store_changes>(std::move(handler), reader));
}
} // namespace

std::unique_ptr<object_store> makeStoreHttpClient(boost::asio::io_context &context, store_http_settings settings)
{
    return std::make_unique<http_object_store>(context, std::move(settings));
}

} // namespace cicadamux
