/** @file store_answer.cpp Decodes the platform's answers and checks that they match the request. */

#include "store/store_answer_func.h"

#include "http/http_status_type.h"
#include "store/store_json_func.h"

#include <boost/json/parse.hpp>
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

/** @throws boost::system::system_error if the text isn't whole. */
std::string_view checkWhole(std::string_view text)
{
    if (!isWholeJson(text)) {
        throw boost::system::system_error(boost::json::make_error_code(boost::json::error::incomplete));
    }
    return text;
}

/** @throws std::bad_optional_access if the member is missing. */
std::string_view textAt(std::string_view object, std::string_view key)
{
    return findJsonMember(object, key).value();
}

boost::json::value valueAt(std::string_view object, std::string_view key)
{
    const std::string_view text = textAt(object, key);
    return boost::json::parse(boost::json::string_view(text.data(), text.size()));
}

std::uint64_t unsignedAt(std::string_view object, std::string_view key)
{
    return valueAt(object, key).to_number<std::uint64_t>();
}

std::string stringAt(std::string_view object, std::string_view key)
{
    return std::string(valueAt(object, key).as_string());
}

/** The value is taken as text: one that can't be read harms no other object. @throws an exception if another member is missing or of the wrong type. */
stored_object readObject(std::string_view text)
{
    stored_object object;
    object.kind = stringAt(text, "kind");
    object.name = stringAt(text, "name");
    object.version = unsignedAt(text, "version");
    object.value = normalizeJson(textAt(text, "value"));
    return object;
}

/** @throws an exception if a member is missing or of the wrong type. */
store_changes readChanges(std::string_view text)
{
    store_changes changes;
    changes.cursor = unsignedAt(text, "cursor");
    const std::vector<std::string_view> items = splitJsonArray(textAt(text, "items")).value();
    for (const std::string_view item : items) {
        changes.items.push_back(readObject(item));
    }
    if (findJsonMember(text, "deleted")) {
        const boost::json::value deleted = valueAt(text, "deleted");
        for (const auto &name : deleted.as_array()) {
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
        result.value = readChanges(checkWhole(body));
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
        result.value = readObject(checkWhole(body));
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
        const std::uint64_t version = unsignedAt(checkWhole(body), "version");
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
