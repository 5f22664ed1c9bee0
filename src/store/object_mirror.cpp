/** @file object_mirror.cpp Maintains a local copy of all objects of one kind with list and watch calls. */

#include "store/object_mirror_base.h"

#include "core/log_func.h"

#include <algorithm>
#include <utility>

namespace cicadamux
{

namespace
{
constexpr clock_ms shortestWait{1};
} // namespace

object_mirror::object_mirror(boost::asio::io_context &context, object_store &store, object_mirror_settings settings, objects_hook changed, random_source random)
    : m_store(store)
    , m_settings(std::move(settings))
    , m_changed(std::move(changed))
    , m_random(std::move(random))
    , m_timer(context)
    , m_backoff(m_settings.initialBackoff)
{
}

void object_mirror::start()
{
    list();
}

void object_mirror::refresh()
{
    if (!m_stopped) {
        ++m_listRound;
        m_isListed = false;
        m_timer.cancel();
        list();
    }
}

void object_mirror::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void object_mirror::setPause(clock_ms pause)
{
    m_settings.pause = pause;
}

const std::map<std::string, stored_object> &object_mirror::objects() const
{
    return m_objects;
}

void object_mirror::list()
{
    m_store.list(m_settings.kind, [self = weak_from_this(), round = m_listRound](const store_result<store_changes> &result) {
        const auto mirror = self.lock();
        if (mirror && !mirror->m_stopped && mirror->m_listRound == round) {
            mirror->listed(result);
        }
    });
}

void object_mirror::listed(const store_result<store_changes> &result)
{
    if (result.failure != store_failure::none) {
        retry(result.failure);
        return;
    }
    m_isListed = true;
    m_objects.clear();
    apply(result.value);
    m_changed(m_objects);
    watchAfterPause();
}

/** A pause lets further changes gather, so that one watch returns them together. */
void object_mirror::watchAfterPause()
{
    if (m_settings.pause.count > 0) {
        runAfter(m_settings.pause, &object_mirror::watch);
    } else {
        watch();
    }
}

/** After a failure the first watch ends at once: its answer shows whether the store has come back from a copy meanwhile. */
void object_mirror::watch()
{
    const clock_ms wait = m_isLost ? shortestWait : m_settings.wait;
    m_store.watch(m_settings.kind, m_cursor, wait, [self = weak_from_this(), round = m_listRound](const store_result<store_changes> &result) {
        const auto mirror = self.lock();
        if (mirror && !mirror->m_stopped && mirror->m_listRound == round) {
            mirror->watched(result);
        }
    });
}

void object_mirror::watched(const store_result<store_changes> &result)
{
    if (result.failure == store_failure::cursor_too_old) {
        m_isListed = false; // The cursor may become valid again, past changes that were never seen.
        list();
        return;
    }
    if (result.failure == store_failure::bad_answer) { // Such as a cursor that has gone back.
        m_isListed = false;
    }
    if (result.failure != store_failure::none) {
        retry(result.failure);
        return;
    }
    const bool isChanged = !result.value.items.empty() || !result.value.deleted.empty();
    apply(result.value);
    if (isChanged) {
        m_changed(m_objects);
        watchAfterPause();
    } else {
        watch();
    }
}

void object_mirror::apply(const store_changes &changes)
{
    m_backoff = m_settings.initialBackoff;
    m_cursor = changes.cursor;
    for (const stored_object &object : changes.items) {
        m_objects[object.name] = object;
    }
    for (const std::string &name : changes.deleted) {
        m_objects.erase(name);
    }
    if (std::exchange(m_isLost, false)) {
        logEvent(log_level::info, "store_regained", {{"kind", m_settings.kind}});
    }
}

void object_mirror::retry(store_failure failure)
{
    if (!std::exchange(m_isLost, true)) {
        logEvent(log_level::warning, "store_lost", {{"kind", m_settings.kind}, {"failure", toString(failure)}});
    }
    const auto jitter = static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_backoff.count));
    const clock_ms delay{m_backoff.count / 2 + jitter};
    m_backoff = std::min(m_settings.maxBackoff, m_backoff + m_backoff);
    runAfter(delay, m_isListed ? &object_mirror::watch : &object_mirror::list);
}

void object_mirror::runAfter(clock_ms delay, void (object_mirror::*next)())
{
    m_timer.expires_after(std::chrono::milliseconds(delay.count));
    m_timer.async_wait([self = weak_from_this(), next, round = m_listRound](boost::system::error_code cancelled) {
        const auto mirror = self.lock();
        if (!cancelled && mirror && !mirror->m_stopped && mirror->m_listRound == round) {
            (mirror.get()->*next)();
        }
    });
}

} // namespace cicadamux
