/** @file store_type.h Interface to the platform's object store; the protocol is in docs/INTERFACE.md. */

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

constexpr std::size_t maxObjectSize = 1'000'000; ///< Greatest value of an object, bytes.

/** An object of the platform's store. */
struct stored_object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< Assigned by the platform; 0 if the object doesn't exist.
    std::string value; ///< JSON text.
};

/** All objects of a kind, or the changes since a cursor. */
struct store_changes {
    std::uint64_t cursor = 0; ///< Cursor for the next watch.
    std::vector<stored_object> items;
    std::vector<std::string> deleted; ///< Names of deleted objects.
};

enum class store_failure : std::uint8_t {
    none,
    unreachable, ///< No connection could be made; nothing was sent.
    timeout, ///< No answer in time; a write may have taken effect.
    connection_lost, ///< Connection closed before the complete answer; a write may have taken effect.
    bad_answer, ///< The answer violates the protocol; a write may have taken effect.
    conflict, ///< The version didn't match; `currentVersion` holds the present one.
    not_found,
    cursor_too_old, ///< The changes since the cursor are no longer available; list again.
    over_budget, ///< This daemon's call budget is exhausted; nothing was sent.
    rejected, ///< The store refused the call (busy, overloaded, internal error); nothing was done.
    too_large ///< The value is over maxObjectSize; nothing was sent.
};

/** @return The name used in logs, such as `connection_lost`. */
std::string_view toString(store_failure failure);

/** Result of a call to the platform. */
template<typename Value>
struct store_result {
    store_failure failure = store_failure::none;
    std::uint64_t currentVersion = 0; ///< For `conflict`.
    Value value{}; ///< Valid unless there is a failure.
};

template<typename Value>
using store_handler = std::function<void(store_result<Value>)>;

/** How a client of the store reads. */
struct store_options {
    std::vector<std::string> staleKinds; ///< Kinds whose lists and watches may be some seconds old, which costs the store less.
    /** The store has come back from an older copy. Called before the handler of the call whose answer shows it. */
    std::function<void(std::uint64_t era)> restored;
};

/**
 * The platform's object store. Calls return immediately; the handler is called once, later, on one of the daemon's threads.
 */
class object_store
{
public:
    virtual ~object_store() = default;

    virtual void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) = 0;

    /** Writes an object if its version matches; version 0 creates it. The result is the new version. */
    virtual void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) = 0;

    /** Removes an object if its version matches. The value of the result has no meaning. */
    virtual void remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) = 0;

    virtual void list(std::string_view kind, store_handler<store_changes> handler) = 0;

    /** Waits for changes after a cursor, for at most `wait`; the result is empty if there were none. */
    virtual void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler) = 0;
};

} // namespace cicadamux
