/** @file store_answer.cpp Decodes the platform's answers and checks that they match the request. */

#include "store/store_answer_func.h"

#include "http/http_status_type.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

namespace cicadamux
{

namespace
{

template<typename Value>
store_result<Value> makeFailure(store_failure failure)
{
    store_result<Value> result;
    result.failure = failure;
    return result;
}

std::uint64_t unsignedAt(const boost::json::value &document, std::string_view key)
{
    return document.as_object().at(key).to_number<std::uint64_t>();
}

std::string stringAt(const boost::json::value &document, std::string_view key)
{
    return std::string(document.as_object().at(key).as_string());
}

/** @throws an exception of Boost.JSON if a member is missing or of the wrong type. */
stored_object readObject(const boost::json::value &document)
{
    stored_object object;
    object.kind = stringAt(document, "kind");
    object.name = stringAt(document, "name");
    object.version = unsignedAt(document, "version");
    object.value = boost::json::serialize(document.as_object().at("value"));
    return object;
}

/** @throws an exception of Boost.JSON if a member is missing or of the wrong type. */
store_changes readChanges(const boost::json::value &document)
{
    store_changes changes;
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

/** Runs a JSON reader; any exception means that the answer violates the protocol and becomes `bad_answer`. */
template<typename Value, typename Reader>
store_result<Value> readOrBadAnswer(Reader reader)
{
    try {
        return reader();
    } catch (const std::exception &) {
        return makeFailure<Value>(store_failure::bad_answer);
    }
}

store_result<store_changes> readChangesAnswer(std::string_view body, std::string_view kind)
{
    return readOrBadAnswer<store_changes>([&] {
        store_result<store_changes> result;
        result.value = readChanges(boost::json::parse(body));
        for (const stored_object &object : result.value.items) {
            if (object.kind != kind) {
                result.failure = store_failure::bad_answer;
            }
        }
        return result;
    });
}
} // namespace

store_result<stored_object> readObjectAnswer(unsigned status, std::string_view body, std::string_view kind, std::string_view name)
{
    if (status == http_status::notFound) {
        return makeFailure<stored_object>(store_failure::not_found);
    }
    if (status != http_status::ok) {
        return makeFailure<stored_object>(store_failure::bad_answer);
    }
    return readOrBadAnswer<stored_object>([&] {
        store_result<stored_object> result;
        result.value = readObject(boost::json::parse(body));
        if (result.value.kind != kind || result.value.name != name) {
            result.failure = store_failure::bad_answer;
        }
        return result;
    });
}

store_result<std::uint64_t> readWriteAnswer(unsigned status, std::string_view body, std::uint64_t ifVersion)
{
    if (status != http_status::ok && status != http_status::conflict) {
        return makeFailure<std::uint64_t>(store_failure::bad_answer);
    }
    return readOrBadAnswer<std::uint64_t>([&] {
        store_result<std::uint64_t> result;
        const std::uint64_t version = unsignedAt(boost::json::parse(body), "version");
        if (status == http_status::conflict) {
            result.failure = store_failure::conflict;
            result.currentVersion = version;
        } else if (version <= ifVersion) {
            result.failure = store_failure::bad_answer;
        } else {
            result.value = version;
        }
        return result;
    });
}

store_result<store_changes> readListAnswer(unsigned status, std::string_view body, std::string_view kind)
{
    if (status != http_status::ok) {
        return makeFailure<store_changes>(store_failure::bad_answer);
    }
    return readChangesAnswer(body, kind);
}

store_result<store_changes> readWatchAnswer(unsigned status, std::string_view body, std::string_view kind, std::uint64_t cursor)
{
    if (status == http_status::gone) {
        return makeFailure<store_changes>(store_failure::cursor_too_old);
    }
    store_result<store_changes> result = readListAnswer(status, body, kind);
    const bool hasChanges = !result.value.items.empty() || !result.value.deleted.empty();
    const std::uint64_t lowest = hasChanges ? cursor + 1 : cursor;
    if (result.failure == store_failure::none && result.value.cursor < lowest) {
        result.failure = store_failure::bad_answer;
    }
    return result;
}

} // namespace cicadamux
