/** @file object_mirror_base.h Keeps a copy of all objects of one kind by list and watch. */

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
    clock_ms wait{10'000}; ///< Of one watch; each is a call that is paid for.
    clock_ms pause{0}; ///< After a watch that brought changes, so that a burst of them costs few calls.
    clock_ms firstBackoff{100}; ///< After a failure; doubles.
    clock_ms lastBackoff{1'000}; ///< Under the time in which a lapsed entry has to be back after an outage.
};

/** Logs when its store is lost and regained. Used by one thread. */
class object_mirror : public std::enable_shared_from_this<object_mirror>
{
public:
    /** Takes in all objects, after a list or a watch with changes. */
    using objects_hook = std::function<void(const std::map<std::string, stored_object> &objects)>;

    object_mirror(boost::asio::io_context &context, object_store &store, object_mirror_settings settings, objects_hook changed, random_source random);

    void start();

    /** Lists again at once, such as after word that something newer exists. */
    void refresh();

    void stop();

    /** Sets the pause after a watch that brings changes. */
    void setPause(clock_ms pause);

    const std::map<std::string, stored_object> &objects() const;

private:
    void list();
    void listed(const store_result<store_changes> &result);
    void watch();
    void watched(const store_result<store_changes> &result);
    void take(const store_changes &changes);
    void retry(store_failure failure);
    void after(clock_ms span, void (object_mirror::*next)());

    object_store &m_store;
    object_mirror_settings m_settings;
    objects_hook m_changed;
    random_source m_random;
    boost::asio::steady_timer m_timer;
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_round = 0; ///< Raised by refresh(); the end of an older call is ignored.
    clock_ms m_backoff;
    bool m_isListed = false;
    bool m_isLost = false; ///< The last call failed.
    bool m_stopped = false;
};

} // namespace cicadamux
