/** @file fleet_fakes.cpp An in-memory platform, and several fleet objects in one process that exchange without gRPC. */

#include "fleet_fakes.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace cicadamux::test
{

namespace
{
constexpr std::size_t threadCount = 2;
constexpr clock_ms watchStep{20}; ///< Interval at which a waiting watch checks for changes.

std::string freeAddress(boost::asio::io_context &context)
{
    using boost::asio::ip::udp;
    const udp::socket socket(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}
} // namespace

fake_platform::fake_platform(boost::asio::io_context &context)
    : m_context(context)
{
}

void fake_platform::get(std::string_view kind, std::string_view name, store_handler<stored_object> handler)
{
    const std::lock_guard lock(m_mutex);
    store_result<stored_object> result;
    const auto found = m_contents.objects.find({std::string(kind), std::string(name)});
    result.failure = isDown ? store_failure::unreachable : found == m_contents.objects.end() ? store_failure::not_found : store_failure::none;
    if (result.failure == store_failure::none) {
        result.value = found->second.object;
    }
    boost::asio::post(m_context, [handler = std::move(handler), result] {
        handler(result);
    });
}

void fake_platform::put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    ++calls;
    ++writes;
    store_result<std::uint64_t> result;
    {
        const std::lock_guard lock(m_mutex);
        const std::pair key{std::string(kind), std::string(name)};
        const auto found = m_contents.objects.find(key);
        const std::uint64_t current = found == m_contents.objects.end() ? 0 : found->second.object.version;
        if (isDown) {
            result.failure = store_failure::timeout;
        } else if (refusesWrites) {
            result.failure = store_failure::rejected;
        } else if (current != ifVersion) {
            result.failure = current == 0 ? store_failure::not_found : store_failure::conflict;
            result.currentVersion = current;
        } else {
            stored_entry &object = m_contents.objects[key];
            ++m_contents.cursor;
            object = {{std::string(kind), std::string(name), m_contents.cursor, std::string(value)}, m_contents.cursor};
            result.value = m_contents.cursor;
        }
    }
    boost::asio::post(m_context, [handler = std::move(handler), result] {
        handler(result);
    });
}

void fake_platform::remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    ++calls;
    store_result<std::uint64_t> result;
    {
        const std::lock_guard lock(m_mutex);
        const std::pair key{std::string(kind), std::string(name)};
        const auto found = m_contents.objects.find(key);
        if (isDown) {
            result.failure = store_failure::timeout;
        } else if (found == m_contents.objects.end()) {
            result.failure = store_failure::not_found;
        } else if (found->second.object.version != ifVersion) {
            result.failure = store_failure::conflict;
        } else {
            m_contents.objects.erase(found);
            m_contents.deleted[key] = ++m_contents.cursor;
        }
    }
    boost::asio::post(m_context, [handler = std::move(handler), result] {
        handler(result);
    });
}

store_result<store_changes> fake_platform::changesSince(const std::string &kind, std::uint64_t cursor)
{
    const std::lock_guard lock(m_mutex);
    store_result<store_changes> result;
    if (isDown) {
        result.failure = store_failure::unreachable;
        return result;
    }
    result.value.cursor = m_contents.cursor;
    for (const auto &[key, object] : m_contents.objects) {
        if (key.first == kind && object.changedAt > cursor) {
            result.value.items.push_back(object.object);
        }
    }
    for (const auto &[key, at] : m_contents.deleted) {
        if (key.first == kind && at > cursor && !m_contents.objects.contains(key)) {
            result.value.deleted.push_back(key.second);
        }
    }
    return result;
}

void fake_platform::list(std::string_view kind, store_handler<store_changes> handler)
{
    ++calls;
    store_result<store_changes> result = changesSince(std::string(kind), 0);
    if (failingLists > 0) {
        --failingLists;
        result = {store_failure::rejected, 0, {}};
    }
    boost::asio::post(m_context, [handler = std::move(handler), result] {
        handler(result);
    });
}

void fake_platform::watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler)
{
    ++calls;
    answerWatch(std::string(kind), cursor, wait, era, std::move(handler));
}

void fake_platform::answerWatch(const std::string &kind, std::uint64_t cursor, clock_ms wait, std::uint64_t since, store_handler<store_changes> handler)
{
    store_result<store_changes> result = changesSince(kind, cursor);
    if (result.failure == store_failure::none && since != era) {
        result = {store_failure::connection_lost, 0, {}};
    } else if (result.failure == store_failure::none && refusesUnknownCursors && result.value.cursor < cursor) {
        result = {store_failure::cursor_too_old, 0, {}};
    }
    const bool isChanged = !result.value.items.empty() || !result.value.deleted.empty();
    const bool isOver = result.failure != store_failure::none || isChanged || result.value.cursor < cursor || wait <= clock_ms{};
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(watchStep.count));
    timer->async_wait([this, timer, isOver, result, kind, cursor, wait, since, handler = std::move(handler)](const boost::system::error_code &) {
        if (isOver) {
            handler(result);
        } else {
            answerWatch(kind, cursor, wait - watchStep, since, handler);
        }
    });
}

void fake_platform::write(const std::string &kind, const std::string &name, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_contents.cursor;
    m_contents.objects[{kind, name}] = {{kind, name, m_contents.cursor, value}, m_contents.cursor};
}

void fake_platform::save()
{
    const std::lock_guard lock(m_mutex);
    m_saved = m_contents;
}

void fake_platform::restore()
{
    const std::lock_guard lock(m_mutex);
    m_contents = m_saved;
    ++era;
}

void fake_platform::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    m_contents.objects.erase({kind, name});
}

bool fake_platform::holds(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_contents.objects.contains({kind, name});
}

fleet_group::fleet_group()
    : m_work(boost::asio::make_work_guard(context))
{
    unreachable.isDown = true;
    for (std::size_t number = 0; number < threadCount; ++number) {
        m_threads.emplace_back([this] {
            context.run();
        });
    }
}

fleet_group::~fleet_group()
{
    for (const auto &[host, one] : fleets) {
        one->stop();
    }
    context.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

fleet &fleet_group::start(const std::string &host, const std::string &dataCenter, object_store *client)
{
    daemon_settings settings;
    settings.host = host;
    settings.dataCenter = dataCenter;
    settings.peerAddress = freeAddress(context);
    settings.seeds = givesSeeds ? m_seeds : std::vector<std::string>{};
    settings.platformWatch = clock_ms{300};
    fleet_hooks hooks;
    hooks.exchange = [this](const std::string &address, const exchange_request &request, const exchange_handler &handler) {
        ask(address, request, handler);
    };
    std::atomic<std::uint64_t> &count = reverts[host];
    hooks.policyChanged = [&count, highest = std::make_shared<std::map<std::string, std::uint64_t>>()](const std::shared_ptr<const policy_set> &policies) {
        for (const auto &[service, policy] : policies->services()) {
            count += policy.generation < (*highest)[service] ? 1 : 0;
            (*highest)[service] = policy.generation;
        }
    };
    static std::atomic<std::uint64_t> lives{0};
    const incarnation_id incarnation{static_cast<std::uint64_t>(wallNow().count) + ++lives};
    auto one = std::make_unique<fleet>(context, settings, incarnation, client, hooks);
    fleet &result = *one;
    {
        const std::lock_guard lock(m_mutex);
        fleets[host] = std::move(one);
        m_byAddress[settings.peerAddress] = &result;
        if (m_seeds.size() < 2) {
            m_seeds.push_back(settings.peerAddress);
        }
    }
    result.start();
    return result;
}

void fleet_group::ask(const std::string &address, const exchange_request &request, const exchange_handler &handler)
{
    boost::asio::post(context, [this, address, request, handler] {
        fleet *peer = nullptr;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_byAddress.find(address);
            peer = found == m_byAddress.end() ? nullptr : found->second;
        }
        handler(peer == nullptr ? std::nullopt : std::optional(peer->answerExchange(request)));
    });
}

bool fleet_group::eventually(const std::function<bool()> &condition)
{
    constexpr int attempts = 3'000; // 30 s
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace cicadamux::test
