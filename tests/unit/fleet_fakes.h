/** @file fleet_fakes.h An in-memory platform, and several fleet objects in one process that exchange without gRPC. */

#pragma once

#include "fleet/fleet_base.h"
#include "store/store_type.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cicadamux::test
{

/** An in-memory platform that can be made to fail and to revert to a saved state. */
class fake_platform : public object_store
{
public:
    explicit fake_platform(boost::asio::io_context &context);

    void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) override;
    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;
    void remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;

    void list(std::string_view kind, store_handler<store_changes> handler) override;
    void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler) override;

    /** Writes an object regardless of its version. */
    void write(const std::string &kind, const std::string &name, const std::string &value);

    /**
     * Reverts to the contents at the last save(): versions and cursors are given out again, waiting watches end, the era
     * rises, and a watch from a cursor that isn't given out yet is refused.
     */
    void restore();
    void save();

    /** Removes an object regardless of its version; watches don't tell. */
    void erase(const std::string &kind, const std::string &name);

    /** @return Whether an object of this kind and name exists. */
    bool holds(const std::string &kind, const std::string &name);

    std::atomic<std::uint64_t> era{1};
    std::atomic<bool> refusesWrites{false};
    std::atomic<int> failingLists{0}; ///< Lists that will still be refused.
    std::atomic<bool> refusesUnknownCursors{false}; ///< A watch from a cursor beyond the newest fails; otherwise it returns the newest.
    std::atomic<bool> isDown{false};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> writes{0}; ///< Calls of put(), which `calls` includes.

private:
    struct stored_entry {
        stored_object object;
        std::uint64_t changedAt = 0; ///< Cursor at the last change.
    };
    struct contents {
        std::map<std::pair<std::string, std::string>, stored_entry> objects;
        std::map<std::pair<std::string, std::string>, std::uint64_t> deleted; ///< Cursor at the removal.
        std::uint64_t cursor = 0;
    };

    store_result<store_changes> changesSince(const std::string &kind, std::uint64_t cursor);
    void answerWatch(const std::string &kind, std::uint64_t cursor, clock_ms wait, std::uint64_t since, store_handler<store_changes> handler);

    boost::asio::io_context &m_context;
    std::mutex m_mutex;
    contents m_contents;
    contents m_saved;
};

/** Several fleet objects on one io_context. */
class fleet_group
{
public:
    fleet_group();
    ~fleet_group();
    fleet_group(const fleet_group &) = delete;
    fleet_group &operator=(const fleet_group &) = delete;

    /** Starts the fleet object of a daemon; its seeds are the first two that were started. */
    fleet &start(const std::string &host, const std::string &dataCenter, object_store *client);

    /** Waits until the condition holds. @return Whether it did within 30 s, which only a fault exceeds. */
    static bool eventually(const std::function<bool()> &condition);

    bool givesSeeds = true; ///< Whether daemons that start get seeds in their settings.
    boost::asio::io_context context;
    fake_platform platform{context};
    fake_platform unreachable{context}; ///< A platform that is down from the start.
    std::map<std::string, std::unique_ptr<fleet>> fleets;
    std::map<std::string, std::atomic<std::uint64_t>> reverts; ///< By host: number of times that a policy went back to a lower generation.

private:
    void ask(const std::string &address, const exchange_request &request, const exchange_handler &handler);

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::map<std::string, fleet *> m_byAddress;
    std::vector<std::string> m_seeds;
    std::vector<std::thread> m_threads;
};

} // namespace cicadamux::test
