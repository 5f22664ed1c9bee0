/** @file platform_type.h The platform's object API as the rest of the program sees it; docs/INTERFACE.md has the protocol. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

constexpr std::size_t maxObjectSize = 1'000'000; ///< Bytes of an object's value.

/** One object, as the platform holds it. */
struct platform_object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< The platform's; 0 where the object doesn't exist.
    std::string value; ///< JSON text.
};

/** A list, or the changes since a cursor. */
struct platform_changes {
    std::uint64_t cursor = 0; ///< Where to watch from next.
    std::vector<platform_object> items;
    std::vector<std::string> deleted; ///< Names.
};

enum class platform_failure : std::uint8_t {
    none,
    unreachable, ///< No connection could be made; nothing was sent.
    timeout, ///< No answer in time; a write may have taken effect.
    connection_lost, ///< Broken before the whole answer; a write may have taken effect.
    bad_answer, ///< Not what the protocol says; a write may have taken effect.
    conflict, ///< The version didn't match; `currentVersion` says what it is.
    not_found,
    cursor_too_old, ///< List again.
    over_budget, ///< This daemon's own call budget; nothing was sent.
    too_large ///< The value is over maxObjectSize; nothing was sent.
};

/** @return The name used in logs, such as `connection_lost`. */
std::string_view toString(platform_failure failure);

/** The end of one call to the platform. */
template<typename Value>
struct platform_result {
    platform_failure failure = platform_failure::none;
    std::uint64_t currentVersion = 0; ///< For `conflict`.
    Value value{}; ///< Meaningful if there was no failure.
};

template<typename Value>
using platform_handler = std::function<void(platform_result<Value>)>;

/**
 * The platform. Calls return at once; the handler is called once, later, on one of the daemon's threads.
 * Implementations: platform_http_client and, in tests, fakes.
 */
class platform_client
{
public:
    virtual ~platform_client() = default;

    virtual void get(std::string_view kind, std::string_view name, platform_handler<platform_object> handler) = 0;

    /** Writes if the version matches; 0 creates. The result is the new version. */
    virtual void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, platform_handler<std::uint64_t> handler)
        = 0;

    virtual void list(std::string_view kind, platform_handler<platform_changes> handler) = 0;

    /** Waits for changes after a cursor, at most for `wait`; empty changes are a normal end. */
    virtual void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, platform_handler<platform_changes> handler) = 0;
};

} // namespace cicadamux
