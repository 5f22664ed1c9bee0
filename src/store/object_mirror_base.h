/** @file object_mirror_base.h Maintains a local copy of all objects of one kind with list and watch calls. */

#pragma once

#include "core/clock_type.h"
#include "core/random_func.h"
#include "store/store_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cicadamux
{

struct object_mirror_settings {
    std::string kind;
    clock_ms wait{10'000}; ///< Duration of one watch call; each counts against the call budget.
    clock_ms pause{0}; ///< Delay after a list and after a watch that returned changes, so that a burst of changes takes few calls.
    clock_ms initialBackoff{100}; ///< Delay after a failure; doubles with each further one.
    clock_ms maxBackoff{1'000}; ///< Shorter than the time in which an expired entry has to be restored after an outage.
};

/** Logs when the store becomes unavailable and available again. Not thread-safe. */
class object_mirror : public std::enable_shared_from_this<object_mirror>
{
public:
    /** Called with all objects after a list, and after a watch that returned changes. */
    using objects_hook = std::function<void(const std::map<std::string, stored_object> &objects)>;

    object_mirror(boost::asio::io_context &context, object_store &store, object_mirror_settings settings, objects_hook changed, random_source random);

    void start();

    /** Lists again at once, for instance when a peer has announced a newer object. */
    void refresh();

    void stop();

    /** Sets the delay after a watch that returned changes. */
    void setPause(clock_ms pause);

    const std::map<std::string, stored_object> &objects() const;

private:
    void list();
    void listed(const store_result<store_changes> &result);
    void watch();
    void watchAfterPause();
    void watched(const store_result<store_changes> &result);
    void apply(const store_changes &changes);
    void retry(store_failure failure);
    void runAfter(clock_ms delay, void (object_mirror::*next)());

    object_store &m_store;
    object_mirror_settings m_settings;
    objects_hook m_changed;
    random_source m_random;
    boost::asio::steady_timer m_timer;
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_listRound = 0; ///< Incremented by refresh(); results of calls from earlier rounds are ignored.
    clock_ms m_backoff;
    bool m_isListed = false;
    bool m_isLost = false; ///< Whether the last call failed.
    bool m_stopped = false;
};

} // namespace cicadamux
