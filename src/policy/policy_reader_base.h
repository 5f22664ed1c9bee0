/** @file policy_reader_base.h Reads one JSON object of a policy and collects everything that is wrong with it. */

#pragma once

#include "policy/policy_type.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

constexpr std::string_view nameAllowed = "text, [a-z0-9-]{1,63}"; ///< What a name may be, for faults.

/** Whole numbers that a key may have. */
struct whole_range {
    std::uint64_t least = 0;
    std::uint64_t most = 0;
    std::uint64_t fallback = 0; ///< Used where the key is absent and not required.
};

enum class presence : std::uint8_t { required, optional };

/**
 * Parses a document that must be an object of at most `maxObjectSize` bytes.
 * @throws policy_error if it isn't.
 */
boost::json::object parsePolicyDocument(std::string_view json);

/** Reads the keys of one object. A value that is wrong is replaced by its default, so that reading goes on to the next fault. */
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

    std::uint64_t whole(std::string_view key, presence wanted, const whole_range &range);

    /** Reads an optional number. */
    double number(std::string_view key, double least, double most, double fallback);

    /** Reads an optional text that is one of two; the first is the default. @return Whether it is the second. */
    bool second(std::string_view key, std::string_view first, std::string_view other);

    /** Reads an optional list of different names. */
    std::vector<std::string> names(std::string_view key, std::size_t most);

    /** @return The elements of a required list; null if it is absent, wrong or too long. */
    const boost::json::array *list(std::string_view key, std::size_t least, std::size_t most);

    /** Adds a fault for each key that was never asked for. */
    void refuseUnknownKeys();

    /** Adds a fault at a key of this object. */
    void fault(std::string_view key, std::string problem, std::string allowed);

private:
    const boost::json::value *find(std::string_view key, presence wanted, std::string_view allowed);

    const boost::json::object &m_source;
    std::string m_path;
    std::vector<policy_fault> &m_faults;
    std::vector<std::string> m_known; ///< Keys that were asked for.
};

/** @return Whether a text is `[a-z0-9-]{1,63}`. */
bool isPolicyName(std::string_view text);

} // namespace cicadamux::detail
