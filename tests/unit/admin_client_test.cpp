/** @file admin_client_test.cpp Answers to the operator's queries: only a whole one with status 200 counts. */

#include "operator/admin_client_func.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr clock_ms timeLimit{2'000};
constexpr std::string_view body = R"({"status":"ok"})";

/** Sends a query to a listener that answers with these bytes. @return The answer, or nothing if the query failed without one. */
std::optional<std::string> answerTo(const std::string &bytes)
{
    const raw_server daemon([&bytes](raw_socket &connection) {
        if (!connection.receiveUntil("}").empty()) {
            connection.send(bytes);
        }
    });
    try {
        return queryAdmin(daemon.address(), "show hosts", timeLimit);
    } catch (const admin_error &failed) {
        CHECK((failed.failure() == admin_failure::no_answer));
        return std::nullopt;
    }
}

std::string makeAnswer(const std::string &status)
{
    return "HTTP/1.1 " + status + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

} // namespace

TEST_CASE("an operator's query takes no answer with another status than 200 for its result (MIXED)")
{
    CHECK(answerTo(makeAnswer("200")) == body);
    for (const std::string status : {"000", "001", "099", "100", "204", "404", "503", "600", "999"}) {
        CAPTURE(status);
        CHECK_FALSE(answerTo(makeAnswer(status)));
    }
}

TEST_CASE("an operator's query whose answer is cut inside its head has no result (MIXED)")
{
    const std::string answer = makeAnswer("200");
    const std::size_t headEnd = answer.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < headEnd; ++cut) {
        CAPTURE(answer.substr(0, cut));
        CHECK_FALSE(answerTo(answer.substr(0, cut)));
    }
}
