/** @file store_json.cpp Takes JSON texts apart without reading the values in them. */

#include "store/store_json_func.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cicadamux
{

namespace
{

/** Position in a JSON text. */
class json_cursor
{
public:
    explicit json_cursor(std::string_view text)
        : m_rest(text)
    {
        skipSpace();
    }

    /** Skips a character with the white space after it. @return Whether it was there. */
    bool skip(char character)
    {
        if (!m_rest.starts_with(character)) {
            return false;
        }
        m_rest.remove_prefix(1);
        skipSpace();
        return true;
    }

    bool isAtEnd() const
    {
        return m_rest.empty();
    }

    /** Skips a value with the white space after it. @return The value; empty if there is none. */
    std::string_view takeValue()
    {
        const std::size_t size = valueSize();
        const std::string_view value = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        skipSpace();
        return value;
    }

private:
    void skipSpace()
    {
        m_rest.remove_prefix(std::min(m_rest.size(), m_rest.find_first_not_of(" \t\r\n")));
    }

    std::size_t valueSize() const
    {
        if (m_rest.starts_with('"')) {
            return stringSize(0);
        }
        if (m_rest.starts_with('{') || m_rest.starts_with('[')) {
            return containerSize();
        }
        return std::min(m_rest.size(), m_rest.find_first_of(",:]} \t\r\n"));
    }

    /** @return Size of the string that begins at a position, with its quotes; 0 if it has no end. */
    std::size_t stringSize(std::size_t begin) const
    {
        for (std::size_t index = begin + 1; index < m_rest.size(); ++index) {
            if (m_rest[index] == '\\') {
                ++index;
            } else if (m_rest[index] == '"') {
                return index + 1 - begin;
            }
        }
        return 0;
    }

    /** Counts brackets instead of recursing, since the depth is unbounded. @return 0 if the container has no end. */
    std::size_t containerSize() const
    {
        std::size_t depth = 0;
        for (std::size_t index = 0; index < m_rest.size(); ++index) {
            const char character = m_rest[index];
            if (character == '"') {
                const std::size_t size = stringSize(index);
                if (size == 0) {
                    return 0;
                }
                index += size - 1;
            } else if (character == '{' || character == '[') {
                ++depth;
            } else if (character == '}' || character == ']') {
                --depth;
                if (depth == 0) {
                    return index + 1;
                }
            }
        }
        return 0;
    }

    std::string_view m_rest;
};

bool isNamed(std::string_view quoted, std::string_view name)
{
    return quoted.size() == name.size() + 2 && quoted.substr(1, name.size()) == name;
}
} // namespace

bool isWholeJson(std::string_view text)
{
    json_cursor cursor(text);
    return !cursor.takeValue().empty() && cursor.isAtEnd();
}

std::optional<std::string_view> findJsonMember(std::string_view object, std::string_view name)
{
    json_cursor cursor(object);
    if (!cursor.skip('{')) {
        return std::nullopt;
    }
    do {
        const std::string_view key = cursor.takeValue();
        if (!cursor.skip(':')) {
            return std::nullopt;
        }
        const std::string_view value = cursor.takeValue();
        if (isNamed(key, name) && !value.empty()) {
            return value;
        }
    } while (cursor.skip(','));
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view array)
{
    json_cursor cursor(array);
    std::vector<std::string_view> elements;
    if (!cursor.skip('[')) {
        return std::nullopt;
    }
    if (cursor.skip(']')) {
        return elements;
    }
    do {
        elements.push_back(cursor.takeValue());
        if (elements.back().empty()) {
            return std::nullopt;
        }
    } while (cursor.skip(','));
    return cursor.skip(']') ? std::optional(std::move(elements)) : std::nullopt;
}

std::string normalizeJson(std::string_view value)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(boost::json::string_view(value.data(), value.size()), failure);
    return failure ? std::string(value) : boost::json::serialize(parsed);
}

} // namespace cicadamux
