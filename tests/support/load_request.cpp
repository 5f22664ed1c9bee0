/** @file load_request.cpp One request of the load generator, with its ticket and its retries. */

#include "support/load_request.h"

#include "support/payload_func.h"

namespace cicadamux::test::detail
{

namespace
{
constexpr unsigned statusOk = 200;
constexpr std::int64_t answerGrace = 200; ///< Milliseconds beyond the deadline in which the daemon may still report the outcome.

/** Runs the attempts of one request. */
class load_attempt : public std::enable_shared_from_this<load_attempt>
{
public:
    load_attempt(http_client &client, load_request_pointer request, bool useTickets, std::function<void(const load_request_pointer &)> ended)
        : m_client(client)
        , m_request(std::move(request))
        , m_useTickets(useTickets)
        , m_ended(std::move(ended))
    {
    }

    void begin()
    {
        if (m_useTickets && m_request->operation->atMostOnce && m_request->ticket.empty()) {
            takeTicket();
        } else {
            call();
        }
    }

private:
    std::int64_t remainingMs() const
    {
        return m_request->operation->deadline.count - static_cast<std::int64_t>(elapsedMs(*m_request));
    }

    http_message makeMessage(const std::string &target, const std::string &body) const
    {
        http_message message;
        message.method = "POST";
        message.target = target;
        message.headers = {{"content-type", "application/json"},
                           {"cicadamux-service", m_request->operation->service},
                           {"cicadamux-operation", m_request->operation->operation},
                           {"cicadamux-deadline-ms", std::to_string(std::max<std::int64_t>(remainingMs(), 1))}};
        message.body = body;
        return message;
    }

    void takeTicket();
    void call();
    void answered(const http_reply &reply);
    void attemptEnded(load_outcome outcome, std::string reason);

    http_client &m_client;
    load_request_pointer m_request;
    bool m_useTickets;
    std::function<void(const load_request_pointer &)> m_ended;
};

void load_attempt::takeTicket()
{
    const clock_ms timeout{std::max<std::int64_t>(remainingMs(), 1)};
    m_client.send(m_request->address, makeMessage("/cicadamux/ticket", {}), timeout, [self = shared_from_this()](const http_reply &reply) {
        constexpr std::string_view key = R"("ticket":")";
        const auto start = reply.message.body.find(key);
        if (reply.failure != http_failure::none || start == std::string::npos) {
            ++self->m_request->attempts;
            self->attemptEnded(load_outcome::not_run, "no_ticket");
            return;
        }
        const std::string rest = reply.message.body.substr(start + key.size());
        self->m_request->ticket = rest.substr(0, rest.find('"'));
        self->call();
    });
}

void load_attempt::call()
{
    ++m_request->attempts;
    http_message message = makeMessage("/" + m_request->operation->operation, formatPayload(m_request->id));
    if (!m_request->ticket.empty()) {
        message.headers.push_back({"cicadamux-ticket", m_request->ticket});
    }
    const clock_ms timeout{std::max<std::int64_t>(remainingMs(), 1) + answerGrace};
    m_client.send(m_request->address, message, timeout, [self = shared_from_this()](const http_reply &reply) {
        self->answered(reply);
    });
}

void load_attempt::answered(const http_reply &reply)
{
    if (reply.failure == http_failure::connect_failed) {
        attemptEnded(load_outcome::not_run, "connect_failed");
        return;
    }
    if (reply.failure != http_failure::none) {
        attemptEnded(load_outcome::unknown, std::string(toString(reply.failure)));
        return;
    }
    const std::string_view outcome = headerOf(reply.message, "cicadamux-outcome");
    const std::string reason(headerOf(reply.message, "cicadamux-reason"));
    if (outcome == "not-run") {
        attemptEnded(load_outcome::not_run, reason);
    } else if (outcome == "unknown") {
        attemptEnded(load_outcome::unknown, reason);
    } else if (payloadId(reply.message.body) != m_request->id) {
        attemptEnded(load_outcome::wrong_answer, "wrong_answer");
    } else if (reply.message.status != statusOk) {
        attemptEnded(load_outcome::failed, "status_" + std::to_string(reply.message.status));
    } else {
        attemptEnded(load_outcome::answered, {});
    }
}

void load_attempt::attemptEnded(load_outcome outcome, std::string reason)
{
    m_request->outcome = outcome;
    m_request->reason = std::move(reason);
    m_request->mayHaveRun = m_request->mayHaveRun || outcome != load_outcome::not_run;
    const bool isOver = outcome == load_outcome::answered || outcome == load_outcome::wrong_answer;
    if (isOver || m_request->attempts > m_request->operation->retries || remainingMs() <= 0) {
        m_ended(m_request);
        return;
    }
    if (!m_request->mayHaveRun) {
        m_request->ticket.clear();
    }
    begin();
}
} // namespace

void sendLoadRequest(http_client &client, const load_request_pointer &request, bool useTickets, std::function<void(const load_request_pointer &)> ended)
{
    std::make_shared<load_attempt>(client, request, useTickets, std::move(ended))->begin();
}

double elapsedMs(const load_request &request)
{
    return std::chrono::duration<double, std::milli>(load_clock::now() - request.arrival).count();
}

} // namespace cicadamux::test::detail
