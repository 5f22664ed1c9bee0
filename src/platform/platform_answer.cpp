/** @file platform_answer.cpp Reads the platform's answers and checks that they answer what was asked. */

#include "platform/platform_answer_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

namespace cicadamux
{

namespace
{
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;

template<typename Value>
platform_result<Value> makeFailure(platform_failure failure)
{
    platform_result<Value> result;
    result.failure = failure;
    return result;
}

std::uint64_t unsignedAt(const boost::json::value &document, std::string_view key)
{
    return document.as_object().at(key).to_number<std::uint64_t>();
}

std::string textAt(const boost::json::value &document, std::string_view key)
{
    return std::string(document.as_object().at(key).as_string());
}

/** @throws an exception of Boost.JSON if a part is missing or of another type. */
platform_object readObject(const boost::json::value &document)
{
    platform_object object;
    object.kind = textAt(document, "kind");
    object.name = textAt(document, "name");
    object.version = unsignedAt(document, "version");
    object.value = boost::json::serialize(document.as_object().at("value"));
    return object;
}

/** @throws an exception of Boost.JSON if a part is missing or of another type. */
platform_changes readChanges(const boost::json::value &document)
{
    platform_changes changes;
    changes.cursor = unsignedAt(document, "cursor");
    for (const auto &item : document.as_object().at("items").as_array()) {
        changes.items.push_back(readObject(item));
    }
    const auto *deleted = document.as_object().if_contains("deleted");
    if (deleted != nullptr) {
        for (const auto &name : deleted->as_array()) {
            changes.deleted.emplace_back(name.as_string());
        }
    }
    return changes;
}

/** Runs a reader of JSON; whatever it throws means that the answer isn't what the protocol says. */
template<typename Value, typename Reader>
platform_result<Value> readGuarded(Reader reader)
{
    try {
        return reader();
    } catch (const std::exception &) {
        return makeFailure<Value>(platform_failure::bad_answer);
    }
}

platform_result<platform_changes> readChangesAnswer(std::string_view body, std::string_view kind)
{
    return readGuarded<platform_changes>([&] {
        platform_result<platform_changes> result;
        result.value = readChanges(boost::json::parse(body));
        for (const platform_object &object : result.value.items) {
            if (object.kind != kind) {
                result.failure = platform_failure::bad_answer;
            }
        }
        return result;
    });
}
} // namespace

platform_result<platform_object> readObjectAnswer(unsigned status, std::string_view body, std::string_view kind, std::string_view name)
{
    if (status == statusNotFound) {
        return makeFailure<platform_object>(platform_failure::not_found);
    }
    if (status != statusOk) {
        return makeFailure<platform_object>(platform_failure::bad_answer);
    }
    return readGuarded<platform_object>([&] {
        platform_result<platform_object> result;
        result.value = readObject(boost::json::parse(body));
        if (result.value.kind != kind || result.value.name != name) {
            result.failure = platform_failure::bad_answer;
        }
        return result;
    });
}

platform_result<std::uint64_t> readWriteAnswer(unsigned status, std::string_view body, std::uint64_t ifVersion)
{
    if (status != statusOk && status != statusConflict) {
        return makeFailure<std::uint64_t>(platform_failure::bad_answer);
    }
    return readGuarded<std::uint64_t>([&] {
        platform_result<std::uint64_t> result;
        const std::uint64_t version = unsignedAt(boost::json::parse(body), "version");
        if (status == statusConflict) {
            result.failure = platform_failure::conflict;
            result.currentVersion = version;
        } else if (version <= ifVersion) {
            result.failure = platform_failure::bad_answer;
        } else {
            result.value = version;
        }
        return result;
    });
}

platform_result<platform_changes> readListAnswer(unsigned status, std::string_view body, std::string_view kind)
{
    if (status != statusOk) {
        return makeFailure<platform_changes>(platform_failure::bad_answer);
    }
    return readChangesAnswer(body, kind);
}

platform_result<platform_changes> readWatchAnswer(unsigned status, std::string_view body, std::string_view kind, std::uint64_t cursor)
{
    if (status == statusGone) {
        return makeFailure<platform_changes>(platform_failure::cursor_too_old);
    }
    platform_result<platform_changes> result = readListAnswer(status, body, kind);
    const bool hasChanges = !result.value.items.empty() || !result.value.deleted.empty();
    const std::uint64_t lowest = hasChanges ? cursor + 1 : cursor;
    if (result.failure == platform_failure::none && result.value.cursor < lowest) {
        result.failure = platform_failure::bad_answer;
    }
    return result;
}

} // namespace cicadamux
