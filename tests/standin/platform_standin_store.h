/** @file platform_standin_store.h The in-memory objects and change log of the platform stand-in. */

#pragma once

#include "store/store_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux::test
{

/** The result of a write. */
struct write_result {
    unsigned status = 0; ///< 200, 404 or 409.
    std::uint64_t version = 0; ///< The new version, or the present one if the write was rejected.
};

/** Versioned objects with a bounded change log. Copyable, so that reads can be answered from an earlier copy. */
class platform_store
{
public:
    std::optional<stored_object> get(const std::string &kind, const std::string &name) const;

    write_result put(const std::string &kind, const std::string &name, std::string value, std::uint64_t ifVersion);

    write_result remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion);

    store_changes list(const std::string &kind) const;

    /** @return The changes of a kind after a cursor; nothing if the change log no longer covers the cursor, or the cursor is newer than the log. */
    std::optional<store_changes> changesAfter(const std::string &kind, std::uint64_t cursor) const;

    /** Restores an earlier copy. Object versions may decrease; the change log is cleared, and its cursor moves past all cursors returned before. */
    void restore(const platform_store &earlier);

private:
    struct change {
        std::uint64_t cursor = 0;
        std::string kind;
        std::string name;
    };

    void logChange(const std::string &kind, const std::string &name);

    std::map<std::string, std::map<std::string, stored_object>> m_objects; ///< By kind and name.
    std::deque<change> m_changes;
    std::uint64_t m_cursor = 1; ///< Cursor of the newest change.
    std::uint64_t m_oldestCursor = 1; ///< Lowest cursor for which changesAfter() can return changes.
};

} // namespace cicadamux::test
