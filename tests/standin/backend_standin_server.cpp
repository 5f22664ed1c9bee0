/** @file backend_standin_server.cpp The HTTP interface of the backend stand-in and its announcements to the daemon. */

#include "standin/backend_standin_server.h"

#include "support/target_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms announcePeriod{1'000};
constexpr clock_ms drainAnnouncePeriod{200};
constexpr clock_ms announceTimeout{1'000};
constexpr unsigned statusOk = 200;
} // namespace

backend_server::backend_server(boost::asio::io_context &context, const std::string &address, clock_ms connectCost, const backend_settings &settings)
    : m_settings(settings)
    , m_worker(context, settings)
    , m_announcer(context)
    , m_timer(context)
    , m_server(context,
               address,
               [this](const std::shared_ptr<http_exchange> &exchange) {
                   handle(exchange);
               },
               {connectCost, settings.connections})
{
    announce();
}

std::string backend_server::address() const
{
    return m_server.address();
}

void backend_server::handle(const std::shared_ptr<http_exchange> &exchange)
{
    const request_target target = splitTarget(exchange->request().target);
    const std::string first = target.path.empty() ? std::string() : target.path[0];
    const std::string second = target.path.size() < 2 ? std::string() : target.path[1];
    if (first == "control" && second == "runs") {
        handleRuns(exchange);
    } else if (first == "control") {
        handleControl(exchange);
    } else if (first == "cicadamux" && second == "cancel") {
        m_worker.cancel(exchange);
    } else if (first == "cicadamux") {
        handleLoad(exchange);
    } else {
        m_worker.submit(exchange);
    }
}

void backend_server::handleLoad(const std::shared_ptr<http_exchange> &exchange)
{
    http_message answer;
    answer.body = boost::json::serialize(boost::json::object{{"in_use", m_announcedInUse}, {"slots", m_settings.slots}});
    exchange->answer(answer);
}

void backend_server::announce()
{
    m_announcedInUse = m_worker.inUse();
    m_announcedDraining = m_drained != nullptr;
    if (m_settings.localAddress.empty()) {
        onAnnounced({http_failure::connect_failed, {}});
        return;
    }
    const boost::json::object body{{"service", m_settings.service},
                                   {"address", m_server.address()},
                                   {"slots", m_settings.slots},
                                   {"connections", m_settings.connections},
                                   {"state", m_drained ? "draining" : "serving"}};
    http_message request;
    request.method = "POST";
    request.target = "/cicadamux/announce";
    request.headers = {{"content-type", "application/json"}};
    request.body = boost::json::serialize(body);
    m_announcer.send(m_settings.localAddress, request, announceTimeout, [this](const http_reply &reply) {
        onAnnounced(reply);
    });
}

void backend_server::onAnnounced(const http_reply &reply)
{
    if (m_announcedDraining && m_worker.unfinished() == 0) {
        boost::system::error_code failure;
        const auto answer = boost::json::parse(reply.message.body, failure);
        const auto *inFlight = !failure && answer.is_object() ? answer.as_object().if_contains("in_flight") : nullptr;
        const bool isDaemonGone = reply.failure == http_failure::connect_failed;
        if (isDaemonGone || (reply.message.status == statusOk && inFlight != nullptr && *inFlight == 0)) {
            m_drained();
            return;
        }
    }
    scheduleAnnouncement();
}

void backend_server::scheduleAnnouncement()
{
    const clock_ms period = m_drained ? drainAnnouncePeriod : announcePeriod;
    m_timer.expires_after(std::chrono::milliseconds(period.count));
    m_timer.async_wait([this](boost::system::error_code) {
        announce();
    });
}

void backend_server::drain(std::function<void()> drained)
{
    m_drained = std::move(drained);
    m_timer.cancel();
}

} // namespace cicadamux::test
