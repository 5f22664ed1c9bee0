/** @file operator_fleet_fake.h Fake platform, fleet and clock for tests of operators' queries, without sockets or real time. */

#pragma once

#include "core/log_func.h"
#include "operator/data_center_history_base.h"
#include "operator/operator_hooks_type.h"
#include "operator/query_func.h"
#include "operator/query_result_type.h"
#include "policy/policy_func.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cicadamux::test::operators
{

/** Virtual clock; runs events in the order of their times. */
class event_queue
{
public:
    void after(std::int64_t ms, std::function<void()> action)
    {
        m_events.emplace(now + ms, std::move(action));
    }

    void run()
    {
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            now = std::max(now, first->first);
            const std::function<void()> action = std::move(first->second);
            m_events.erase(first);
            action();
        }
    }

    std::int64_t now = 0;

private:
    std::multimap<std::int64_t, std::function<void()>> m_events;
};

/** Fault of one call to the platform. */
enum class platform_fault {
    none,
    down, ///< The call fails at once, without an effect.
    request_lost, ///< A write has no effect; the call times out.
    reply_lost, ///< A write takes effect, but the call fails.
    delayed_write, ///< A write takes effect only after the call has timed out.
    stale_read ///< A read returns the previous version.
};

/** Stores objects like the platform; `nextFault` injects a fault into each call. */
class fake_platform : public object_store
{
public:
    explicit fake_platform(event_queue &queue)
        : m_queue(queue)
    {
    }

    /** Writes an object at once, like another operator. */
    void write(const std::string &kind, const std::string &name, const std::string &value)
    {
        auto &versions = history[{kind, name}];
        versions.push_back({kind, name, versions.empty() ? 1 : versions.back().version + 1, value});
    }

    void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) override
    {
        const auto fault = takeFault();
        const auto &versions = history[{std::string(kind), std::string(name)}];
        store_result<stored_object> result;
        result.failure = failureOf(fault);
        if (result.failure == store_failure::none && versions.empty()) {
            result.failure = store_failure::not_found;
        } else if (result.failure == store_failure::none) {
            result.value = versions[fault == platform_fault::stale_read && versions.size() > 1 ? versions.size() - 2 : versions.size() - 1];
        }
        m_queue.after(1, [handler, result] {
            handler(result);
        });
    }

    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override
    {
        const auto fault = takeFault();
        const auto apply = [this, kind = std::string(kind), name = std::string(name), value = std::string(value), ifVersion] {
            auto &versions = history[{kind, name}];
            const std::uint64_t current = versions.empty() ? 0 : versions.back().version;
            store_result<std::uint64_t> result;
            if (current != ifVersion) {
                result.failure = store_failure::conflict;
                result.currentVersion = current;
                return result;
            }
            write(kind, name, value);
            result.value = current + 1;
            return result;
        };
        if (fault == platform_fault::delayed_write) {
            m_queue.after(700, [apply] {
                apply();
            });
        }
        m_queue.after(1, [handler, apply, fault] {
            store_result<std::uint64_t> result;
            if (fault == platform_fault::none || fault == platform_fault::stale_read || fault == platform_fault::reply_lost) {
                result = apply();
            }
            if (failureOf(fault) != store_failure::none) {
                result = {};
                result.failure = failureOf(fault);
            }
            handler(result);
        });
    }

    void remove(std::string_view, std::string_view, std::uint64_t, store_handler<std::uint64_t> handler) override
    {
        handler({store_failure::unreachable, 0, {}}); // The tested code removes no objects.
    }

    void list(std::string_view /*kind*/, store_handler<store_changes> handler) override
    {
        handler({store_failure::unreachable, 0, {}});
    }

    void watch(std::string_view /*kind*/, std::uint64_t /*cursor*/, clock_ms /*wait*/, store_handler<store_changes> handler) override
    {
        handler({store_failure::unreachable, 0, {}});
    }

    std::size_t writes() const
    {
        std::size_t count = 0;
        for (const auto &[key, versions] : history) {
            count += versions.size();
        }
        return count;
    }

    std::function<platform_fault()> nextFault; ///< If unset, no call fails.
    std::map<std::pair<std::string, std::string>, std::vector<stored_object>> history; ///< All versions, by kind and name.

private:
    platform_fault takeFault()
    {
        return nextFault ? nextFault() : platform_fault::none;
    }

    static store_failure failureOf(platform_fault fault)
    {
        switch (fault) {
        case platform_fault::none:
        case platform_fault::stale_read:
            return store_failure::none;
        case platform_fault::down:
            return store_failure::unreachable;
        case platform_fault::reply_lost:
            return store_failure::connection_lost;
        default:
            return store_failure::timeout;
        }
    }

    event_queue &m_queue;
};

/** A fleet of daemons that answer each other's queries, except those in `silent`. */
class fake_fleet
{
public:
    fake_fleet()
        : platform(queue)
    {
        static const bool isQuiet = [] {
            setUpLog("test", "/dev/null", log_level::error);
            return true;
        }();
        (void)isQuiet;
        policies = policy_set().withRankTable({3, "first", {{"urgent", true, 100}, {"late-ok", false, 50}, {"browse", false, 10}}});
        service_policy desk{2, "first-desk", "pitchdesk", {{"hold", "pitch-hold", "urgent", {"feebox"}, {2000}, false, {60000}, 0, true}}};
        service_policy fees{1, "first-fees", "feebox", {{"pay", "fee", "urgent", {}, {2000}, false, {60000}, 0, true}}};
        policies = policies->withService(desk)->withService(fees);
        platform.write("rank_table", "default", formatRankTable(policies->rankTable()));
        platform.write("service_policy", "pitchdesk", formatServicePolicy(desk));
        platform.write("service_policy", "feebox", formatServicePolicy(fees));
    }

    /** Adds a daemon; run() queries the first one. */
    void add(const std::string &host, const std::string &dataCenter, const std::string &service)
    {
        member_record member;
        member.host = host;
        member.dataCenter = dataCenter;
        member.service = service;
        member.server = service.empty() ? server_state::absent : server_state::serving;
        member.configurationDigest = digest;
        view.push_back(member);
        logs.emplace(host, std::make_unique<refusal_log>(64, clock_ms{0}));
        generations[host] = {{"rank_table", "default", 3}, {"service_policy", "pitchdesk", 2}, {"service_policy", "feebox", 1}};
        history.recordView(view, clock_ms{queue.now});
    }

    std::shared_ptr<operator_hooks> hooksOf(const std::string &host)
    {
        auto hooks = std::make_shared<operator_hooks>();
        hooks->host = host;
        for (const member_record &member : view) {
            hooks->dataCenter = member.host == host ? member.dataCenter : hooks->dataCenter;
        }
        hooks->wallNow = [this] {
            return clock_ms{queue.now};
        };
        hooks->steadyNow = hooks->wallNow;
        hooks->random = [this] {
            return random();
        };
        hooks->view = [this] {
            return std::make_shared<const std::vector<member_record>>(view);
        };
        hooks->dataCenters = [this] {
            return history.names(clock_ms{queue.now});
        };
        hooks->upstreams = [] {
            return std::vector<upstream_state>(1);
        };
        hooks->gate = [] {
            return std::optional(gate_snapshot{8, 7, 3, {rank_id{0}, 12}, "latency_rose", clock_ms{0}});
        };
        hooks->refusals = logs.at(host).get();
        hooks->policies = [this] {
            return policies;
        };
        hooks->generations = [this, host] {
            return generations.at(host);
        };
        hooks->configurationDigest = [this] {
            return digest;
        };
        hooks->applyConfiguration = [this](const configuration_object &) {
            ++offers;
            return offer_result::applied;
        };
        hooks->queryDaemon = [this](const member_record &member, std::string query, clock_ms, daemon_reply_handler handler) {
            ask(member.host, std::move(query), std::move(handler));
        };
        hooks->schedule = [this](clock_ms after, std::function<void()> action) {
            queue.after(after.count, std::move(action));
        };
        hooks->platform = &platform;
        hooks->setDraining = [this, host](bool isDraining) {
            draining[host] = isDraining;
        };
        return hooks;
    }

    /** Runs one query at the first daemon to completion. @throws error if it isn't answered exactly once. */
    query_result run(const std::string &line)
    {
        int answers = 0;
        std::string json;
        runQuery(line, hooksOf(view.front().host), [&](std::string answer) {
            ++answers;
            json = std::move(answer);
        });
        queue.run();
        if (answers != 1) {
            throw error("answered " + std::to_string(answers) + " times: " + line);
        }
        return parseResultJson(json);
    }

    event_queue queue;
    fake_platform platform;
    std::mt19937_64 random{1};
    std::vector<member_record> view;
    std::set<std::string> silent;
    std::map<std::string, std::unique_ptr<refusal_log>> logs;
    std::map<std::string, std::vector<object_generation>> generations;
    std::map<std::string, bool> draining;
    std::shared_ptr<const policy_set> policies;
    data_center_history history;
    std::uint64_t digest = 77;
    int offers = 0;

private:
    void ask(const std::string &host, std::string query, daemon_reply_handler handler)
    {
        if (silent.contains(host)) {
            return;
        }
        queue.after(5, [this, host, query = std::move(query), handler = std::move(handler)] {
            handler(answerAsk(query, *hooksOf(host)));
        });
    }
};

} // namespace cicadamux::test::operators
