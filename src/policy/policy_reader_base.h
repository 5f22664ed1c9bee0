/** @file policy_reader_base.h Reads and validates the keys of one JSON object of a policy and collects all faults. */

#pragma once

#include "policy/policy_type.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

constexpr std::string_view nameAllowed = "text, [a-z0-9-]{1,63}"; ///< Description of valid names in faults.

/** Valid range and default of a whole number. */
struct whole_number_range {
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    std::uint64_t defaultValue = 0; ///< Value if the key is absent or wrong.
};

enum class presence : std::uint8_t { required, optional };

/**
 * Parses a document, which must be a JSON object of at most `maxObjectSize` bytes.
 * @throws policy_error if it is not.
 */
boost::json::object parsePolicyDocument(std::string_view json);

/** Reads the keys of one object. A wrong value is replaced by its default, so that reading continues and reports all faults at once. */
class policy_reader
{
public:
    /** @param path Prefix of the keys in faults, such as `operations[1].`. */
    policy_reader(const boost::json::object &source, std::string path, std::vector<policy_fault> &faults);

    /** Reads a required name, `[a-z0-9-]{1,63}`. */
    std::string name(std::string_view key);

    /** Reads a required text of 1 to 64 characters of `[A-Za-z0-9._:-]`. */
    std::string operationId(std::string_view key);

    bool flag(std::string_view key);

    std::uint64_t wholeNumber(std::string_view key, presence keyPresence, const whole_number_range &range);

    /** Reads an optional number above `minimum`, up to `maximum`. */
    double number(std::string_view key, double minimum, double maximum, double defaultValue);

    /** Reads an optional text with two valid values, the first being the default. @return Whether it is the second. */
    bool isSecondChoice(std::string_view key, std::string_view first, std::string_view other);

    /** Reads an optional list of distinct names. */
    std::vector<std::string> names(std::string_view key, std::size_t maximum);

    /** @return The elements of a required list; null if it is absent, of a wrong type or of a wrong length. */
    const boost::json::array *list(std::string_view key, std::size_t minimum, std::size_t maximum);

    /** Adds a fault for each key that has not been read. */
    void reportUnknownKeys();

    /** Adds a fault at a key of this object. */
    void fault(std::string_view key, std::string problem, std::string allowed);

private:
    const boost::json::value *find(std::string_view key, presence keyPresence, std::string_view allowed);

    const boost::json::object &m_source;
    std::string m_path;
    std::vector<policy_fault> &m_faults;
    std::vector<std::string> m_readKeys; ///< Keys that have been read.
};

/** @return Whether a text matches `[a-z0-9-]{1,63}`. */
bool isPolicyName(std::string_view text);

} // namespace cicadamux::detail
