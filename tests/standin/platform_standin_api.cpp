/** @file platform_standin_api.cpp The object API of the platform stand-in. */

#include "standin/platform_standin_api.h"

#include "support/target_func.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusGone = 410;
constexpr unsigned statusTooLarge = 413;
constexpr std::int64_t maxWatchWait = 60'000; ///< Milliseconds.

boost::json::object toJson(const stored_object &object)
{
    return {{"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"value", boost::json::parse(object.value)}};
}

boost::json::object toJson(const store_changes &changes)
{
    boost::json::array items;
    for (const stored_object &object : changes.items) {
        items.push_back(toJson(object));
    }
    boost::json::array deleted;
    for (const std::string &name : changes.deleted) {
        deleted.emplace_back(name);
    }
    return {{"cursor", changes.cursor}, {"items", std::move(items)}, {"deleted", std::move(deleted)}};
}

bool isJson(const std::string &text)
{
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(text, failure);
    return !failure;
}
} // namespace

platform_api::platform_api(boost::asio::io_context &context)
    : m_context(context)
{
}

void platform_api::handle(const std::shared_ptr<http_exchange> &exchange)
{
    const http_message &request = exchange->request();
    const request_target target = splitTarget(request.target);
    if (!target.path.empty() && target.path[0] == "control") {
        handleControl(exchange);
        return;
    }
    if (steadyNow() < m_faults.downUntil) {
        ++m_counters.closed;
        exchange->close();
        return;
    }
    countCall();
    const bool isObjects = target.path.size() >= 2 && target.path[0] == "objects";
    if (target.path.size() == 2 && target.path[0] == "watch" && request.method == "GET") {
        const auto cursor = static_cast<std::uint64_t>(numberOf(target, "cursor", 0));
        const clock_ms wait{std::clamp<std::int64_t>(numberOf(target, "wait_ms", 0), 0, maxWatchWait)};
        handleWatch(exchange, target.path[1], cursor, wait);
    } else if (isObjects && request.method == "GET") {
        handleRead(exchange, target.path[1], target.path.size() > 2 ? target.path[2] : std::string());
    } else if (isObjects && target.path.size() == 3 && (request.method == "PUT" || request.method == "DELETE")) {
        handleWrite(exchange, target.path[1], target.path[2]);
    } else {
        respond(exchange, statusBadRequest, {});
    }
}

void platform_api::handleRead(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, const std::string &name)
{
    if (name.empty()) {
        ++m_counters.lists;
        respond(exchange, statusOk, toJson(readStore().list(kind)));
        return;
    }
    ++m_counters.gets;
    const auto object = readStore().get(kind, name);
    if (object) {
        respond(exchange, statusOk, toJson(*object));
    } else {
        respond(exchange, statusNotFound, {});
    }
}

void platform_api::handleWrite(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, const std::string &name)
{
    const http_message &request = exchange->request();
    ++m_counters.writes;
    const auto ifVersion = parseNumber(headerOf(request, "if-version"));
    if (!ifVersion || *ifVersion < 0 || (request.method == "PUT" && !isJson(request.body))) {
        respond(exchange, statusBadRequest, {});
        return;
    }
    if (request.body.size() > maxObjectSize) {
        respond(exchange, statusTooLarge, {});
        return;
    }
    const auto version = static_cast<std::uint64_t>(*ifVersion);
    const write_result result = request.method == "PUT" ? m_store.put(kind, name, request.body, version) : m_store.remove(kind, name, version);
    if (result.status != statusOk) {
        ++m_counters.conflicts;
        respond(exchange, result.status, {{"version", result.version}});
        return;
    }
    wakeWatches();
    if (m_faults.lostWriteAnswers > 0) {
        --m_faults.lostWriteAnswers;
        exchange->close();
        return;
    }
    respond(exchange, result.status, {{"version", result.version}});
}

void platform_api::handleWatch(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, std::uint64_t cursor, clock_ms wait)
{
    ++m_counters.watches;
    const auto changes = readStore().changesAfter(kind, cursor);
    if (!changes) {
        respond(exchange, statusGone, {});
        return;
    }
    if (!changes->items.empty() || !changes->deleted.empty()) {
        respond(exchange, statusOk, toJson(*changes));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(wait.count));
    m_watches.push_back({exchange, kind, cursor, timer});
    const auto watch = std::prev(m_watches.end());
    timer->async_wait([this, watch, timer](boost::system::error_code failure) {
        if (!failure) {
            endWatch(watch);
        }
    });
}

void platform_api::endWatch(std::list<waiting_watch>::iterator watch)
{
    const waiting_watch ended = std::move(*watch);
    m_watches.erase(watch);
    ended.timer->cancel();
    const auto changes = readStore().changesAfter(ended.kind, ended.cursor);
    if (changes) {
        respond(ended.exchange, statusOk, toJson(*changes));
    } else {
        respond(ended.exchange, statusGone, {});
    }
}

void platform_api::wakeWatches()
{
    for (auto next = m_watches.begin(); next != m_watches.end();) {
        const auto watch = next++;
        const auto changes = readStore().changesAfter(watch->kind, watch->cursor);
        if (!changes || !changes->items.empty() || !changes->deleted.empty()) {
            endWatch(watch);
        }
    }
}

void platform_api::closeWatches()
{
    for (const waiting_watch &watch : m_watches) {
        watch.timer->cancel();
        watch.exchange->close();
    }
    m_watches.clear();
}

void platform_api::respond(const std::shared_ptr<http_exchange> &exchange, unsigned status, const boost::json::object &body)
{
    http_message answer;
    answer.status = status;
    answer.headers.push_back({"content-type", "application/json"});
    answer.body = boost::json::serialize(body);
    clock_ms delay;
    if (steadyNow() < m_faults.slowUntil) {
        delay = m_faults.delay;
    }
    if (m_faults.lateAnswers > 0) {
        --m_faults.lateAnswers;
        delay = m_faults.lateDelay;
    }
    if (delay.count == 0) {
        send(exchange, answer);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(delay.count));
    timer->async_wait([this, exchange, answer, timer](boost::system::error_code) {
        send(exchange, answer);
    });
}

void platform_api::send(const std::shared_ptr<http_exchange> &exchange, const http_message &answer)
{
    if (m_faults.duplicateAnswers == 0) {
        exchange->answer(answer);
        return;
    }
    --m_faults.duplicateAnswers;
    const std::string bytes = http_server::format(answer);
    exchange->answerBytes(bytes + bytes, false);
}

void platform_api::countCall()
{
    constexpr clock_ms second{1'000};
    const clock_ms now = steadyNow();
    if (now - m_second >= second) {
        m_second = now;
        m_callsInSecond = 0;
    }
    ++m_callsInSecond;
    m_counters.maxPerSecond = std::max(m_counters.maxPerSecond, m_callsInSecond);
}

const platform_store &platform_api::readStore() const
{
    return m_faults.staleCopy ? *m_faults.staleCopy : m_store;
}

} // namespace cicadamux::test
