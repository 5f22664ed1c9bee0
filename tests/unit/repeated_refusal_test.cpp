/** @file repeated_refusal_test.cpp A backend server writes an earlier refusal once more; it counts for no other request. */

#include "sidecar_fleet_fake.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::string_view endOfHead = "\r\n\r\n";
constexpr std::chrono::milliseconds runTime{20};
constexpr clock_ms idleTime{100}; ///< The system holds the server's second small packet back until the first one is acknowledged, for up to 40 ms.

/** When the second copy of the refusal is written. */
enum class copy_time : std::uint8_t {
    with_next_answer, ///< In one piece with the answer to the next request of the connection, ahead of it.
    during_next_run,
    while_idle
};

struct repetition {
    std::string status;
    bool refusalHasId = false;
    bool copyHasId = false;
    copy_time at = copy_time::with_next_answer;
};

std::string idOf(std::string_view head)
{
    constexpr std::string_view name = "x-id: ";
    const std::size_t found = head.find(name);
    if (found == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = head.substr(found + name.size());
    return std::string(rest.substr(0, rest.find('\r')));
}

std::string makeRefusal(const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + " Refused\r\nx-not-run: 1\r\n" + (id.empty() ? "" : "x-id: " + id + "\r\n") + "Content-Length: 0\r\n\r\n";
}

/** Refuses requests to `/feebox/refused`, repeats the refusal on the same connection, and runs all others. */
class repeating_server
{
public:
    void repeat(const repetition &next)
    {
        const std::lock_guard lock(m_mutex);
        m_repetition = next;
    }

    std::size_t runsOf(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::ranges::count(m_runs, id));
    }

    std::size_t connections()
    {
        const std::lock_guard lock(m_mutex);
        return m_connections;
    }

    void serve(raw_socket &connection)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_connections;
        }
        std::string copy;
        while (true) {
            const std::string head = connection.receiveUntil(endOfHead);
            if (head.empty()) {
                return;
            }
            if (head.find("/feebox/refused") != std::string::npos) {
                copy = refuse(connection, idOf(head));
            } else {
                run(connection, idOf(head), std::exchange(copy, {}));
            }
        }
    }

private:
    /** @return What is to be written with the next request of the connection. */
    std::string refuse(raw_socket &connection, const std::string &id)
    {
        const repetition repeated = current();
        connection.send(makeRefusal(repeated.status, repeated.refusalHasId ? id : ""));
        std::string copy = makeRefusal(repeated.status, repeated.copyHasId ? id : "");
        if (repeated.at != copy_time::while_idle) {
            return copy;
        }
        std::this_thread::sleep_for(runTime);
        connection.send(copy);
        return {};
    }

    void run(raw_socket &connection, const std::string &id, const std::string &copy)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(id);
        }
        const std::string answer = "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\nx-signature: signed\r\nContent-Length: 4\r\n\r\ndone";
        if (current().at == copy_time::with_next_answer) {
            connection.send(copy + answer);
            return;
        }
        connection.send(copy);
        std::this_thread::sleep_for(runTime);
        connection.send(answer);
    }

    repetition current()
    {
        const std::lock_guard lock(m_mutex);
        return m_repetition;
    }

    std::mutex m_mutex;
    repetition m_repetition;
    std::vector<std::string> m_runs; ///< Ids of the requests that were run.
    std::size_t m_connections = 0;
};

/** Two hosts; the backend server of `target` is a repeating_server. */
struct repeating_host {
    repeating_host()
    {
        hosts.target.server.reset();
        listener.emplace(hosts.target.settings.backendAddress, [this](raw_socket &connection) {
            server.serve(connection);
        });
    }

    http_reply call(bool viaLink, const std::string &path)
    {
        return hosts.fleet.call(viaLink ? hosts.entry : hosts.target, "/feebox/" + path, clock_ms{2'000});
    }

    repeating_server server;
    std::optional<raw_server> listener; ///< Outlives the hosts, whose connections keep its thread.
    two_hosts hosts{false};
};

std::vector<repetition> allRepetitions()
{
    std::vector<repetition> all;
    for (const std::string status : {"429", "503", "408", "421"}) {
        for (const copy_time at : {copy_time::with_next_answer, copy_time::during_next_run, copy_time::while_idle}) {
            for (const bool refusalHasId : {true, false}) {
                for (const bool copyHasId : {true, false}) {
                    all.push_back({status, refusalHasId, copyHasId, at});
                }
            }
        }
    }
    return all;
}

} // namespace

TEST_CASE("a refusal that is written once more on a kept connection is no answer to the next request (REFUSED)")
{
    repeating_host repeating;
    for (const repetition &repeated : allRepetitions()) {
        for (const bool viaLink : {false, true}) {
            CAPTURE(repeated.status);
            CAPTURE(repeated.refusalHasId);
            CAPTURE(repeated.copyHasId);
            CAPTURE(static_cast<int>(repeated.at));
            CAPTURE(viaLink);
            repeating.server.repeat(repeated);
            CHECK(repeating.call(viaLink, "refused").message.status == 503);
            if (repeated.at == copy_time::while_idle) {
                repeating.hosts.fleet.runFor(idleTime);
            }
            const http_reply reply = repeating.call(viaLink, "run");
            CHECK(reply.message.status == 200);
            CHECK(reply.message.body == "done");
            CHECK(repeating.server.runsOf(std::string(headerOf(reply.message, "x-id"))) == 1);
        }
    }
}

TEST_CASE("a refusal that names its request leaves its connection in use and those without an id are believed on new ones")
{
    repeating_host repeating;
    repeating.server.repeat({"503", true, true, copy_time::during_next_run});
    CHECK(repeating.call(false, "run").message.status == 200);
    CHECK(repeating.call(false, "refused").message.status == 503);
    CHECK(repeating.call(false, "run").message.status == 200);
    CHECK(repeating.server.connections() == 1);
    repeating.server.repeat({"503", false, false, copy_time::during_next_run});
    CHECK(repeating.call(false, "run").message.status == 200); // On a new connection, since a copy came on the first one.
    CHECK(repeating.call(false, "refused").message.status == 503);
    CHECK(repeating.server.connections() == 2);
    CHECK(repeating.call(false, "refused").message.status == 503); // Believed as well, on a connection of its own.
    CHECK(repeating.server.connections() == 3);
}
