/** @file sidecar_fleet_fake.cpp Complete sidecars in one process, with an in-memory platform and scripted backend servers. */

#include "sidecar_fleet_fake.h"

#include "store/store_era_base.h"
#include "support/address_func.h"

#include <chrono>
#include <set>
#include <sstream>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms callTimeout{20'000}; ///< Exceeded only if something is broken.

/** A sidecar's client of the shared platform; follows its era like a real one. */
class platform_client : public object_store
{
public:
    platform_client(fake_platform &platform, store_options options)
        : m_platform(platform)
        , m_shared(std::make_shared<shared_state>())
    {
        m_shared->restored = std::move(options.restored);
    }

    ~platform_client() override
    {
        m_shared->restored = nullptr;
    }

    platform_client(const platform_client &) = delete;
    platform_client &operator=(const platform_client &) = delete;

    void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) override
    {
        m_platform.get(kind, name, following(std::move(handler)));
    }

    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override
    {
        m_platform.put(kind, name, value, ifVersion, following(std::move(handler)));
    }

    void remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override
    {
        m_platform.remove(kind, name, ifVersion, following(std::move(handler)));
    }

    void list(std::string_view kind, store_handler<store_changes> handler) override
    {
        m_platform.list(kind, following(std::move(handler)));
    }

    void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler) override
    {
        m_platform.watch(kind, cursor, wait, following(std::move(handler)));
    }

private:
    struct shared_state {
        store_era era;
        std::function<void(std::uint64_t era)> restored;
    };

    /** Reads the era of each answer; a call that fails on the way has none. */
    template<typename Value>
    store_handler<Value> following(store_handler<Value> handler)
    {
        return [&platform = m_platform, shared = m_shared, handler = std::move(handler)](const store_result<Value> &result) {
            const std::set lost{store_failure::unreachable, store_failure::timeout, store_failure::connection_lost};
            if (!lost.contains(result.failure) && shared->era.observe(std::to_string(platform.era)) == era_change::restored && shared->restored) {
                shared->restored(*shared->era.current());
            }
            handler(result);
        };
    }

    fake_platform &m_platform;
    std::shared_ptr<shared_state> m_shared;
};

std::optional<server_message> readMessage(const cicadamux::http_request &request)
{
    std::istringstream words(request.body);
    server_message message;
    std::string state;
    std::int64_t born = 0;
    server_announcement &said = message.announcement;
    words >> said.id >> born >> said.sequence >> said.service >> said.address >> said.slots >> state;
    said.startedAt = clock_ms{born};
    said.draining = state == "draining";
    message.isDeparture = state == "gone";
    return message;
}
} // namespace

sidecar_fleet::sidecar_fleet(std::uint32_t hostMemoryMb, clock_source bootClock)
    : m_memoryMb(hostMemoryMb)
    , m_bootClock(std::move(bootClock))
{
    platform.refusesUnknownCursors = true;
}

sidecar_fleet::~sidecar_fleet()
{
    for (const auto &host : m_hosts) {
        if (host->running) {
            host->running->stop();
        }
    }
}

sidecar_adapter sidecar_fleet::makeAdapter()
{
    sidecar_adapter adapter;
    adapter.headers = {"x-id", "x-deadline", "x-expected", "x-caller", "x-signature", "x-not-run", "x-rate", "x-leaving"};
    adapter.readyPath = "/ready";
    adapter.configurationKind = "configuration";
    adapter.configurationName = "main";
    adapter.readBounds = [](std::string_view text) {
        if (text == "unreadable") {
            throw decode_error("unreadable bounds");
        }
        return fleet_bounds();
    };
    adapter.readConfiguration = [this](std::string_view text) {
        return m_configurations.at(std::string(text));
    };
    adapter.readServerMessage = readMessage;
    adapter.makeStore = [this](boost::asio::io_context &, const std::string &, const store_options &options) {
        ++storesMade;
        return std::make_unique<platform_client>(platform, options);
    };
    return adapter;
}

sidecar_host &sidecar_fleet::add(const std::string &service, served_handler serve)
{
    sidecar_host &host = *m_hosts.emplace_back(std::make_unique<sidecar_host>());
    host.name = "host-" + std::to_string(m_hosts.size());
    host.service = service;
    host.serve = std::move(serve);
    host.settings.host = host.name;
    host.settings.dataCenter = "tbs-1";
    host.settings.memoryMb = m_memoryMb;
    host.settings.backendService = service;
    host.settings.edgeAddress = freeAddress();
    host.settings.localAddress = freeAddress();
    host.settings.peerAddress = freeAddress();
    host.settings.adminAddress = freeAddress();
    host.settings.readyAddress = freeAddress();
    host.settings.backendAddress = freeAddress();
    startServer(host);
    startSidecar(host);
    return host;
}

void sidecar_fleet::startSidecar(sidecar_host &host)
{
    host.running = std::make_unique<sidecar>(context, host.settings, makeAdapter(), m_bootClock);
    host.running->start();
}

void sidecar_fleet::restart(sidecar_host &host)
{
    host.running->stop();
    m_ended.push_back(std::move(host.running)); // Kept, since its pending handlers still run in runFor().
    runFor(clock_ms{50});
    startSidecar(host);
}

void sidecar_fleet::runFor(clock_ms span)
{
    context.restart();
    context.run_for(std::chrono::milliseconds(span.count));
}

void sidecar_fleet::startServer(sidecar_host &host)
{
    host.server = std::make_unique<test::http_server>(context, host.settings.backendAddress, [&host](const std::shared_ptr<test::http_exchange> &exchange) {
        host.served.push_back(exchange->request());
        host.serve(exchange);
    });
}

void sidecar_fleet::configure(route_configuration configuration)
{
    const std::string text = std::to_string(configuration.version);
    m_configurations[text] = std::move(configuration);
    platform.write("configuration", "main", text);
}

void sidecar_fleet::beat(sidecar_host &host, const std::string &id, std::uint32_t slots, const std::string &state)
{
    std::ostringstream body;
    body << id << " 1000 " << ++host.sequence << ' ' << host.service << ' ' << host.settings.backendAddress << ' ' << slots << ' ' << state;
    http_message message;
    message.method = "PUT";
    message.target = "/beat";
    message.body = body.str();
    constexpr int maxAttempts = 3; // An idle connection to a sidecar that has restarted fails at its first use.
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (post(host.settings.localAddress, message).failure == http_failure::none) {
            return;
        }
    }
    throw error("heartbeat of " + id + " not answered");
}

http_reply sidecar_fleet::post(const std::string &address, const http_message &message)
{
    auto reply = std::make_shared<std::optional<http_reply>>();
    m_client.send(address, message, callTimeout, [reply](const http_reply &got) {
        *reply = got;
    });
    eventually([&reply] {
        return reply->has_value();
    });
    return reply->value_or(http_reply{http_failure::timeout, {}});
}

bool sidecar_fleet::eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(callTimeout.count);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

bool sidecar_fleet::ready()
{
    for (const auto &host : m_hosts) {
        const bool came = eventually([this, &host] {
            http_message question;
            question.method = "GET";
            question.target = "/ready";
            runFor(clock_ms{10});
            const http_reply reply = post(host->settings.readyAddress, question);
            return reply.failure == http_failure::none && reply.message.status == 200;
        });
        if (!came) {
            return false;
        }
    }
    return true;
}

std::shared_ptr<std::optional<http_reply>> sidecar_fleet::send(sidecar_host &host, const std::string &target, clock_ms deadline, const std::string &body)
{
    http_message request;
    request.method = body.empty() ? "GET" : "PUT";
    request.target = target;
    request.body = body;
    request.headers = {{"host", "shop.example"}, {"x-id", "r-" + std::to_string(++m_lastRequest)}, {"x-deadline", std::to_string(deadline.count)}};
    auto reply = std::make_shared<std::optional<http_reply>>();
    m_client.send(host.settings.edgeAddress, request, callTimeout, [reply](const http_reply &got) {
        *reply = got;
    });
    return reply;
}

http_reply sidecar_fleet::call(sidecar_host &host, const std::string &target, clock_ms deadline)
{
    const auto reply = send(host, target, deadline);
    eventually([&reply] {
        return reply->has_value();
    });
    return reply->value_or(http_reply{http_failure::timeout, {}});
}

http_message sidecar_fleet::goodAnswer(const http_message &request, unsigned status)
{
    http_message answer;
    answer.status = status;
    answer.headers = {{"x-id", std::string(headerOf(request, "x-id"))}, {"x-signature", "signed"}};
    answer.body = "answer to " + request.target;
    return answer;
}

void sidecar_fleet::answerWell(const std::shared_ptr<test::http_exchange> &exchange)
{
    exchange->answer(goodAnswer(exchange->request()));
}

two_hosts::two_hosts(bool idempotent, served_handler serve)
    : entry(fleet.add("mapview"))
    , target(fleet.add("feebox", std::move(serve)))
{
    fleet.configure(makeRoutes(3, {"feebox"}, idempotent, 2));
    fleet.beat(target, "i-1", 4);
    if (!fleet.ready()) {
        throw error("two hosts not ready in time");
    }
}

holding_host::holding_host(std::uint32_t slots, std::uint32_t memoryMb, clock_source bootClock)
    : fleet(memoryMb, std::move(bootClock))
    , entry(fleet.add("feebox", [this](const std::shared_ptr<test::http_exchange> &exchange) {
        held.push_back(exchange);
    }))
{
    fleet.configure(makeRoutes(3, {"feebox"}, false, 2));
    fleet.beat(entry, "i-1", slots);
    if (!fleet.ready()) {
        throw error("host not ready in time");
    }
}

bool holding_host::holds(std::size_t count)
{
    return fleet.eventually([this, count] {
        return held.size() == count;
    });
}

route_configuration makeRoutes(std::uint64_t version, const std::vector<std::string> &services, bool idempotent, std::uint32_t maxServers)
{
    route_configuration configuration;
    configuration.version = version;
    for (const std::string &service : services) {
        route_rule route;
        route.name = service;
        route.host = "shop.example";
        route.prefix = "/" + service + "/";
        route.idempotent = idempotent;
        route.timeout = clock_ms{5'000};
        route.latencyObjective = clock_ms{1'000};
        route.maxServers = maxServers;
        route.services = {{service, 1}};
        configuration.routes.push_back(route);
        configuration.services.push_back({service, 100});
    }
    return configuration;
}

} // namespace cicadamux::test
