/** @file departure_record.cpp Keeps in the store which incarnation of the backend server has left, for a restart of this sidecar. */

#include "sidecar/departure_record_base.h"

#include "core/log_func.h"
#include "http/http_fields_func.h"

#include <boost/json.hpp>

#include <utility>

namespace cicadamux
{

namespace json = boost::json;

namespace
{
constexpr std::string_view departureKind = "cicadamux-departures"; ///< Kind of the store objects; the name is the host's.
constexpr clock_ms retryDelay{1'000}; ///< Between attempts while the store is unavailable.
constexpr clock_ms maxStoreWait{300}; ///< The server waits a second for its acknowledgement.
} // namespace

std::string formatDepartedServer(const departed_server &server)
{
    json::object object;
    object["server"] = server.id;
    if (server.startedAt) {
        object["started_at"] = server.startedAt->count;
    }
    return json::serialize(object);
}

std::optional<departed_server> parseDepartedServer(const std::string &text)
{
    boost::system::error_code failure;
    const json::value value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    const json::value *id = value.get_object().if_contains("server");
    const json::value *startedAt = value.get_object().if_contains("started_at");
    if (id == nullptr || !id->is_string() || (startedAt != nullptr && !startedAt->is_int64())) {
        return std::nullopt;
    }
    departed_server server{std::string(id->get_string()), std::nullopt};
    if (startedAt != nullptr) {
        server.startedAt = clock_ms{startedAt->get_int64()};
    }
    return server;
}

departure_record::departure_record(boost::asio::io_context &context, object_store &store, std::string host, restored_hook restored)
    : m_store(store)
    , m_host(std::move(host))
    , m_restored(std::move(restored))
    , m_retryTimer(context)
    , m_waitTimer(context)
{
}

void departure_record::start()
{
    if (!std::exchange(m_isReading, true)) {
        read();
    }
}

void departure_record::read()
{
    m_store.get(departureKind, m_host, [self = weak_from_this()](const store_result<stored_object> &result) {
        const auto record = self.lock();
        if (record && !record->m_isStopped && !record->m_server) { // A departure since the start is newer than the record.
            record->handleRead(result);
        }
    });
}

void departure_record::handleRead(const store_result<stored_object> &result)
{
    if (result.failure == store_failure::not_found) {
        return;
    }
    if (result.failure != store_failure::none) {
        retryLater(&departure_record::read);
        return;
    }
    m_version = result.value.version;
    const std::optional<departed_server> server = parseDepartedServer(result.value.value);
    if (!server) {
        logEvent(log_level::warning, "departure_unreadable", {{"object", m_host}, {"version", m_version}});
        return;
    }
    logEvent(
        log_level::info, "departure_restored", {{"server", server->id}, {"born", server->startedAt ? server->startedAt->count : 0}, {"version", m_version}});
    m_server = server;
    m_isStored = true;
    m_restored(*server);
}

void departure_record::repeat()
{
    ++m_round;
    m_isStored = false;
    write();
}

void departure_record::record(departed_server server, std::function<void()> done)
{
    finishWaiting();
    if (m_server == server && m_isStored) {
        done();
        return;
    }
    m_server = std::move(server);
    m_isStored = false;
    m_done = std::move(done);
    m_waitTimer.expires_after(detail::toChrono(maxStoreWait));
    m_waitTimer.async_wait([self = weak_from_this()](boost::system::error_code cancelled) {
        const auto record = self.lock();
        if (!cancelled && record) {
            record->finishWaiting();
        }
    });
    write();
}

void departure_record::write()
{
    if (m_isWriting || m_isStored || !m_server) {
        return;
    }
    m_isWriting = true;
    m_store.put(departureKind,
                m_host,
                formatDepartedServer(*m_server),
                m_version,
                [self = weak_from_this(), written = *m_server, round = m_round](const store_result<std::uint64_t> &result) {
                    const auto record = self.lock();
                    if (!record || record->m_isStopped) {
                        return;
                    }
                    record->m_isWriting = false;
                    record->m_isStored = result.failure == store_failure::none && record->m_server == written && record->m_round == round;
                    record->handleWritten(result);
                });
}

void departure_record::handleWritten(const store_result<std::uint64_t> &result)
{
    logEvent(log_level::info, "departure_recorded", {{"server", m_server ? m_server->id : ""}, {"result", toString(result.failure)}});
    switch (result.failure) {
    case store_failure::none:
        m_version = result.value;
        if (m_isStored) {
            finishWaiting();
        } else {
            write();
        }
        return;
    case store_failure::conflict:
        m_version = result.currentVersion;
        write();
        return;
    case store_failure::not_found:
        m_version = 0;
        write();
        return;
    default:
        retryLater(&departure_record::write);
    }
}

void departure_record::retryLater(void (departure_record::*operation)())
{
    m_retryTimer.expires_after(detail::toChrono(retryDelay));
    m_retryTimer.async_wait([self = weak_from_this(), operation](boost::system::error_code cancelled) {
        const auto record = self.lock();
        if (!cancelled && record && !record->m_isStopped) {
            (record.get()->*operation)();
        }
    });
}

void departure_record::finishWaiting()
{
    m_waitTimer.cancel();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done();
    }
}

void departure_record::remove()
{
    m_retryTimer.cancel();
    if (m_version != 0) {
        m_store.remove(departureKind, m_host, m_version, [](const store_result<std::uint64_t> &) {}); // A record that stays is overwritten by the next one.
    }
}

void departure_record::stop()
{
    m_isStopped = true;
    m_retryTimer.cancel();
    finishWaiting();
}

} // namespace cicadamux
