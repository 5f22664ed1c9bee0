/** @file platform_standin_store.cpp The in-memory objects and change log of the platform stand-in. */

#include "standin/platform_standin_store.h"

#include <set>

namespace cicadamux::test
{

namespace
{
constexpr std::size_t maxChanges = 10'000; ///< Maximum number of entries in the change log.
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
} // namespace

std::optional<stored_object> platform_store::get(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end()) {
        return std::nullopt;
    }
    const auto found = objects->second.find(name);
    if (found == objects->second.end()) {
        return std::nullopt;
    }
    return found->second;
}

write_result platform_store::put(const std::string &kind, const std::string &name, std::string value, std::uint64_t ifVersion)
{
    const auto existing = get(kind, name);
    const std::uint64_t version = existing ? existing->version : 0;
    if (version != ifVersion) {
        return {statusConflict, version};
    }
    m_objects[kind][name] = {kind, name, version + 1, std::move(value)};
    logChange(kind, name);
    return {statusOk, version + 1};
}

write_result platform_store::remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion)
{
    const auto existing = get(kind, name);
    if (!existing) {
        return {statusNotFound, 0};
    }
    if (existing->version != ifVersion) {
        return {statusConflict, existing->version};
    }
    m_objects[kind].erase(name);
    logChange(kind, name);
    return {statusOk, existing->version};
}

store_changes platform_store::list(const std::string &kind) const
{
    store_changes all;
    all.cursor = m_cursor;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (const auto &[name, object] : objects->second) {
            all.items.push_back(object);
        }
    }
    return all;
}

std::optional<store_changes> platform_store::changesAfter(const std::string &kind, std::uint64_t cursor) const
{
    if (cursor < m_oldestCursor || cursor > m_cursor) {
        return std::nullopt;
    }
    store_changes result;
    result.cursor = m_cursor;
    std::set<std::string> names;
    for (const change &entry : m_changes) {
        if (entry.cursor > cursor && entry.kind == kind) {
            names.insert(entry.name);
        }
    }
    for (const std::string &name : names) {
        if (auto object = get(kind, name)) {
            result.items.push_back(std::move(*object));
        } else {
            result.deleted.push_back(name);
        }
    }
    return result;
}

void platform_store::restore(const platform_store &earlier)
{
    m_objects = earlier.m_objects;
    m_changes.clear();
    ++m_cursor;
    m_oldestCursor = m_cursor;
}

void platform_store::logChange(const std::string &kind, const std::string &name)
{
    m_changes.push_back({++m_cursor, kind, name});
    if (m_changes.size() > maxChanges) {
        m_oldestCursor = m_changes.front().cursor;
        m_changes.pop_front();
    }
}

} // namespace cicadamux::test
