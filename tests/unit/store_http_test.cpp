/** @file store_http_test.cpp The object store's HTTP client against a server that sends invalid, late and duplicated answers. */

#include "store/call_budget_base.h"
#include "store/store_http_func.h"
#include "support/http_server_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
constexpr clock_ms shortTimeout{300};
using answer_script = std::function<void(const std::shared_ptr<http_exchange> &)>;

/** A client and its server on one thread. */
class client_fixture
{
public:
    explicit client_fixture(answer_script script, std::uint32_t callsPerMinute = 1'000)
        : m_server(m_context,
                   "127.0.0.1:0",
                   [script = std::move(script)](const std::shared_ptr<http_exchange> &exchange) {
                       script(exchange);
                   })
        , client(makeStoreHttpClient(m_context, {m_server.address(), shortTimeout, callsPerMinute}))
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~client_fixture()
    {
        boost::asio::post(m_context, [this] {
            client.reset();
            m_server.stop();
            m_guard.reset();
        });
        m_thread.join();
    }

    client_fixture(const client_fixture &) = delete;
    client_fixture &operator=(const client_fixture &) = delete;

    store_result<stored_object> get(const std::string &name)
    {
        return wait<stored_object>([&](auto handler) {
            client->get("service_policy", name, handler);
        });
    }

    store_result<std::uint64_t> put(const std::string &value, std::uint64_t ifVersion)
    {
        return wait<std::uint64_t>([&](auto handler) {
            client->put("service_policy", "feebox", value, ifVersion, handler);
        });
    }

    store_result<store_changes> watch(std::uint64_t cursor)
    {
        return wait<store_changes>([&](auto handler) {
            client->watch("service_policy", cursor, {10}, handler);
        });
    }

    store_result<store_changes> list()
    {
        return wait<store_changes>([&](auto handler) {
            client->list("service_policy", handler);
        });
    }

private:
    template<typename Value, typename Begin>
    store_result<Value> wait(Begin begin)
    {
        std::promise<store_result<Value>> promise;
        begin([&](store_result<Value> result) {
            promise.set_value(std::move(result));
        });
        return promise.get_future().get();
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{m_context.get_executor()};
    http_server m_server;

public:
    std::unique_ptr<object_store> client;

private:
    std::thread m_thread;
};

http_message makeAnswer(unsigned status, const std::string &body)
{
    http_message answer;
    answer.status = status;
    answer.body = body;
    return answer;
}

std::string objectBody(const std::string &name, int version)
{
    return R"({"kind":"service_policy","name":")" + name + R"(","version":)" + std::to_string(version) + R"(,"value":{"a":1}})";
}

/** @return The name of the failure, since doctest can't print the enumerator. */
template<typename Value>
std::string failureOf(const store_result<Value> &result)
{
    return std::string(toString(result.failure));
}

/** Always sends the same bytes. */
answer_script sendBytes(const std::string &bytes, bool closeAfter)
{
    return [=](const std::shared_ptr<http_exchange> &exchange) {
        exchange->answerBytes(bytes, closeAfter);
    };
}

answer_script sendAnswer(unsigned status, const std::string &body)
{
    return [=](const std::shared_ptr<http_exchange> &exchange) {
        exchange->answer(makeAnswer(status, body));
    };
}
} // namespace

TEST_CASE("the platform's answers become typed results")
{
    CHECK(client_fixture(sendAnswer(200, objectBody("feebox", 3))).get("feebox").value.version == 3);
    CHECK(client_fixture(sendAnswer(200, objectBody("feebox", 3))).get("feebox").value.value == R"({"a":1})");
    CHECK(failureOf(client_fixture(sendAnswer(404, "{}")).get("feebox")) == "not_found");
    CHECK(client_fixture(sendAnswer(200, R"({"version":8})")).put("{}", 7).value == 8);
    const auto conflict = client_fixture(sendAnswer(409, R"({"version":9})")).put("{}", 7);
    CHECK(failureOf(conflict) == "conflict");
    CHECK(conflict.currentVersion == 9);
    const auto list = client_fixture(sendAnswer(200, R"({"cursor":5,"items":[)" + objectBody("feebox", 2) + "]}")).list();
    CHECK(list.value.cursor == 5);
    CHECK(list.value.items.size() == 1);
    const auto changes = client_fixture(sendAnswer(200, R"({"cursor":6,"items":[],"deleted":["mapview"]})")).watch(5);
    CHECK(changes.value.deleted == std::vector<std::string>{"mapview"});
    CHECK(failureOf(client_fixture(sendAnswer(410, "{}")).watch(5)) == "cursor_too_old");
}

TEST_CASE("an answer that isn't what was asked for is a bad answer")
{
    CHECK(failureOf(client_fixture(sendAnswer(200, objectBody("mapview", 3))).get("feebox")) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, R"({"version":7})")).put("{}", 7)) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, R"({"cursor":4,"items":[],"deleted":[]})")).watch(5)) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, R"({"cursor":5,"items":[],"deleted":["a"]})")).watch(5)) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, R"({"cursor":-1,"items":[]})")).list()) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, R"({"cursor":1,"items":[7]})")).list()) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, "[")).get("feebox")) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(500, "{}")).put("{}", 7)) == "bad_answer");
    CHECK(failureOf(client_fixture(sendBytes("SMTP ready\r\n\r\n", true)).get("feebox")) == "bad_answer");
}

TEST_CASE("answers are bounded")
{
    const std::string large(3 * maxObjectSize, ' ');
    CHECK(failureOf(client_fixture(sendAnswer(200, large)).get("feebox")) == "bad_answer");
    const std::string header = "HTTP/1.1 200 OK\r\nx: " + std::string(20'000, 'x') + "\r\n\r\n";
    CHECK(failureOf(client_fixture(sendBytes(header, true)).get("feebox")) == "bad_answer");
    CHECK(failureOf(client_fixture(sendAnswer(200, "{}")).put(std::string(maxObjectSize + 1, ' '), 7)) == "too_large");
}

TEST_CASE("a write is unreachable only if nothing was sent")
{
    boost::asio::io_context context;
    http_server closed(context, "127.0.0.1:0", {});
    const std::string address = closed.address();
    closed.stop();
    const auto client = makeStoreHttpClient(context, {address, shortTimeout, 10});
    store_failure failure = store_failure::none;
    client->put("service_policy", "feebox", "{}", 0, [&](const auto &result) {
        failure = result.failure;
    });
    context.run();
    CHECK(toString(failure) == "unreachable");

    CHECK(failureOf(client_fixture([](const auto &exchange) {
                        exchange->close();
                    }).put("{}", 7))
          == "connection_lost");
    CHECK(failureOf(client_fixture(sendBytes("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{", true)).put("{}", 7)) == "connection_lost");
    std::shared_ptr<http_exchange> unanswered;
    CHECK(failureOf(client_fixture([&](const auto &exchange) {
                        unanswered = exchange;
                    }).put("{}", 7))
          == "timeout");
}

TEST_CASE("a duplicated answer is never taken for another call's")
{
    std::atomic<int> version{0};
    client_fixture fixture([&](const std::shared_ptr<http_exchange> &exchange) {
        const std::string body = exchange->request().method == "PUT" ? R"({"version":)" + std::to_string(++version) + "}" : objectBody("feebox", ++version);
        const std::string bytes = http_server::format(makeAnswer(200, body));
        exchange->answerBytes(bytes + bytes, false);
    });
    for (std::uint64_t round = 0; round < 20; round += 2) {
        CHECK(fixture.get("feebox").value.version == round + 1);
        CHECK(fixture.put("{}", round + 1).value == round + 2);
    }
}

TEST_CASE("a late answer is never taken for another call's")
{
    std::shared_ptr<http_exchange> late;
    int version = 0;
    client_fixture fixture([&](const std::shared_ptr<http_exchange> &exchange) {
        const auto earlier = std::exchange(late, ++version == 1 ? exchange : nullptr);
        if (earlier) {
            earlier->answer(makeAnswer(200, objectBody("feebox", 1)));
        }
        if (version > 1) {
            exchange->answer(makeAnswer(200, objectBody("feebox", version)));
        }
    });
    CHECK(failureOf(fixture.get("feebox")) == "timeout");
    CHECK(fixture.get("feebox").value.version == 2);
    CHECK(fixture.get("feebox").value.version == 3);
}

TEST_CASE("a kept connection that the platform closed in between costs no call")
{
    client_fixture fixture(sendBytes(http_server::format(makeAnswer(200, objectBody("feebox", 3))), true));
    for (int round = 0; round < 20; ++round) {
        const auto result = fixture.get("feebox");
        CHECK(failureOf(result) == "none");
    }
}

TEST_CASE("calls over the budget aren't sent")
{
    std::atomic<int> served{0};
    client_fixture fixture(
        [&](const std::shared_ptr<http_exchange> &exchange) {
            ++served;
            exchange->answer(makeAnswer(404, "{}"));
        },
        3);
    for (int call = 0; call < 3; ++call) {
        CHECK(failureOf(fixture.get("feebox")) == "not_found");
    }
    CHECK(failureOf(fixture.get("feebox")) == "over_budget");
    CHECK(served == 3);
}

TEST_CASE("the budget fills again with time, to one minute's calls at most")
{
    call_budget budget(60, {0});
    const auto takeAll = [&](std::int64_t now) {
        int taken = 0;
        while (budget.take({now})) {
            ++taken;
        }
        return taken;
    };
    CHECK(takeAll(0) == 60);
    CHECK(takeAll(5'000) == 5);
    CHECK(takeAll(4'000) == 0);
    CHECK(takeAll(500'000) == 60);
}

TEST_CASE("an object whose value can't be read hides no other object")
{
    const std::vector<std::string> values
        = {std::string(400'000, '[') + std::string(400'000, ']'), "1e999999999999", R"("\ud800")", "\"\xff\"", R"({"a":"]}\"[{"})"};
    for (const std::string &value : values) {
        CAPTURE(value.substr(0, 100));
        const std::string odd = R"({"kind":"service_policy","name":"odd","version":2,"value":)" + value + "}";
        const std::string body = R"({"cursor":6,"items":[)" + objectBody("feebox", 2) + "," + odd + "," + objectBody("mapview", 3) + "]}";
        const auto list = client_fixture(sendAnswer(200, body)).list();
        CHECK(failureOf(list) == "none");
        REQUIRE(list.value.items.size() == 3);
        CHECK(list.value.items[2].value == R"({"a":1})");
        CHECK(client_fixture(sendAnswer(200, body)).watch(5).value.items.size() == 3);
    }
}

TEST_CASE("the store's answer follows its 1xx responses")
{
    const std::string body = objectBody("feebox", 3);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    CHECK(client_fixture(sendBytes(interim + http_server::format(makeAnswer(200, body)), false)).get("feebox").value.version == 3);
    CHECK(client_fixture(sendBytes(interim + http_server::format(makeAnswer(200, R"({"version":8})")), false)).put("{}", 7).value == 8);
    std::string endless;
    for (int count = 0; count < 100; ++count) {
        endless += interim;
    }
    CHECK(failureOf(client_fixture(sendBytes(endless, false)).get("feebox")) == "bad_answer");
}

TEST_CASE("a store's answer without a length is whole at its end and lost at a reset")
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + objectBody("feebox", 3);
    CHECK(client_fixture(sendBytes(answer, true)).get("feebox").value.version == 3);
    const auto sendAndReset = [&answer](const std::shared_ptr<http_exchange> &exchange) {
        exchange->answerBytesAndReset(answer);
    };
    CHECK(failureOf(client_fixture(sendAndReset).get("feebox")) == "connection_lost");
    CHECK(failureOf(client_fixture(sendAndReset).put(std::string(900'000, ' ') + "{}", 7)) == "connection_lost");
}

TEST_CASE("a store's answer that HTTP doesn't allow is a bad answer")
{
    const std::string body = objectBody("feebox", 3);
    const auto failureWith = [&body](const std::string &status, const std::string &line) {
        std::string bytes = "HTTP/1.1 ";
        bytes.append(status).append(" x\r\nx-first: 1\r\n").append(line).append("\r\n");
        bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
        return failureOf(client_fixture(sendBytes(bytes, false)).get("feebox"));
    };
    CHECK(failureWith("200", "X-A: b") == "none");
    for (const std::string status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        CHECK(failureWith(status, "X-A: b") == "bad_answer");
    }
    for (const std::string line : {"X A: b", "X-A : b", " X-A: b", "\tX-A: b", "X\001A: b", ": b"}) {
        CAPTURE(line);
        CHECK(failureWith("200", line) == "bad_answer");
    }
}
