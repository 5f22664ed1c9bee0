/** @file backend_link.cpp The connection between a daemon and the backend server on its host. */

#include "daemon/backend_link_base.h"

#include "core/log_func.h"
#include "http/http_endpoint_func.h"
#include "http/http_server_base.h"
#include "http/http_status_type.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cicadamux
{

namespace
{

constexpr std::int64_t maxSlots = 65'536;
constexpr std::int64_t maxServerConnections = 65'536;
constexpr std::uint32_t cancelConnections = 16; ///< Extra connections, reserved for cancellation requests.

namespace json = boost::json;

std::string_view readString(const json::object &document, std::string_view key, const std::string &expected)
{
    const json::value *value = document.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        throw announcement_error(std::string(key), expected);
    }
    return value->as_string();
}

std::uint32_t readCount(const json::object &document, std::string_view key, std::int64_t max)
{
    const json::value *value = document.if_contains(key);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 || value->as_int64() > max) {
        throw announcement_error(std::string(key), "a whole number from 1 to " + std::to_string(max));
    }
    return static_cast<std::uint32_t>(value->as_int64());
}

server_state parseState(std::string_view text)
{
    if (text == "serving") {
        return server_state::serving;
    }
    if (text == "draining") {
        return server_state::draining;
    }
    throw announcement_error("state", "\"serving\" or \"draining\"");
}

bool isServiceName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    });
}

void checkAddress(std::string_view address)
{
    try {
        detail::parseEndpoint(address);
    } catch (const address_error &) {
        throw announcement_error("address", "IP:port");
    }
}

backend_server parseAnnouncement(std::string_view text)
{
    json::error_code failure;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !value.is_object()) {
        throw announcement_error("(document)", "a JSON object");
    }
    const json::object &document = value.get_object();
    backend_server server;
    server.service = readString(document, "service", "a name of a-z, 0-9 and -");
    if (!isServiceName(server.service)) {
        throw announcement_error("service", "a name of a-z, 0-9 and -, at most 63 characters");
    }
    server.address = readString(document, "address", "IP:port");
    checkAddress(server.address);
    server.slots = readCount(document, "slots", maxSlots);
    server.connections = readCount(document, "connections", maxServerConnections);
    server.state = parseState(readString(document, "state", "\"serving\" or \"draining\""));
    return server;
}

bool isSameServer(const backend_server &left, const backend_server &right)
{
    return left.service == right.service && left.address == right.address && left.connections == right.connections;
}

} // namespace

backend_link::backend_link(boost::asio::io_context &context, const daemon_settings &settings, backend_hook changed)
    : m_context(context)
    , m_settings(settings)
    , m_changed(std::move(changed))
{
}

void backend_link::announce(std::string_view text, clock_ms now)
{
    backend_server server = parseAnnouncement(text);
    const std::lock_guard lock(m_mutex);
    m_lastAnnouncedAt = now;
    m_announcedState = server.state;
    if (m_drainedByOperator) {
        server.state = server_state::draining;
    }
    const auto before = m_current.load();
    const bool isKnown = before->client && isSameServer(*before, server);
    if (isKnown && before->slots == server.slots && before->state == server.state) {
        return;
    }
    if (isKnown) {
        server.client = before->client;
        server.instanceId = before->instanceId;
    } else {
        http_limits limits;
        limits.maxConnections = server.connections + cancelConnections;
        limits.maxHeaderBytes = m_settings.maxHeaderBytes;
        limits.maxBodyBytes = m_settings.maxBodyBytes;
        server.client = std::make_shared<http_client>(m_context, server.address, limits);
        server.instanceId = ++m_lastInstanceId;
    }
    replace(std::move(server));
}

void backend_link::setDraining(bool draining)
{
    const std::lock_guard lock(m_mutex);
    m_drainedByOperator = draining;
    backend_server server = *m_current.load();
    const server_state target = draining ? server_state::draining : m_announcedState;
    if (server.state != server_state::absent && server.state != target) {
        server.state = target;
        replace(std::move(server));
    }
}

void backend_link::tick(clock_ms now)
{
    const std::lock_guard lock(m_mutex);
    if (m_current.load()->state == server_state::absent || now - m_lastAnnouncedAt <= m_settings.announceTimeout) {
        return;
    }
    replace({});
}

std::shared_ptr<const backend_server> backend_link::current() const
{
    return m_current.load();
}

void backend_link::replace(backend_server server)
{
    const auto before = m_current.load();
    const auto after = std::make_shared<const backend_server>(std::move(server));
    m_current.publish(after);
    logEvent(log_level::info,
             "backend_server_changed",
             {{"service", after->service.empty() ? before->service : after->service}, {"state", toString(after->state)}, {"slots", after->slots}});
    m_changed(*before, *after);
}

void backend_link::cancel(const backend_server &server, call_id call, std::function<void(bool ended)> handler)
{
    http_request request;
    request.method = "POST";
    request.target = "/cicadamux/cancel";
    request.headers.push_back({"cicadamux-call", toHex(call.value)});
    server.client->send(std::move(request), [handler = std::move(handler)](const http_result &result) {
        handler(result.failure == http_failure::none && result.response.status == http_status::ok);
    });
}

} // namespace cicadamux
