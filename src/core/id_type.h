/** @file id_type.h Strongly typed identifiers, each with an invalid value. */

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** An identifier that doesn't convert to an identifier of another kind. */
template<typename Tag, typename Representation, Representation invalidValue>
struct typed_id {
    Representation value = invalidValue; ///< The raw identifier.

    constexpr auto operator<=>(const typed_id &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14 on each comparison

    /** @return Whether this differs from the invalid value. */
    constexpr bool isValid() const
    {
        return value != invalidValue;
    }

    /** @return The invalid value. */
    static constexpr typed_id invalid()
    {
        return {};
    }
};

/** Identifies one external request and all calls made on its behalf. */
using root_id = typed_id<struct root_tag, std::uint64_t, 0>;
/** Identifies one attempt of one call. */
using call_id = typed_id<struct call_tag, std::uint64_t, 0>;
/** Index into the policy's list of ranks; 0 is the most urgent. */
using rank_id = typed_id<struct rank_tag, std::uint8_t, 255>;
/** Identifies one run of a daemon; it grows with each restart. */
using incarnation_id = typed_id<struct incarnation_tag, std::uint64_t, 0>;
/** Identifies one run of a backend server; a server that starts again under the same id has another one. */
using server_incarnation = typed_id<struct server_incarnation_tag, std::uint64_t, 0>;

/** Formats a 64-bit identifier as 16 lower-case hexadecimal digits. */
std::string toHex(std::uint64_t value);

/**
 * Parses the output of toHex().
 * @return Nothing unless the text is exactly 16 lower-case hexadecimal digits.
 */
std::optional<std::uint64_t> fromHex(std::string_view text);

} // namespace cicadamux

template<typename Tag, typename Representation, Representation invalidValue>
struct std::hash<cicadamux::typed_id<Tag, Representation, invalidValue>> {
    std::size_t operator()(const cicadamux::typed_id<Tag, Representation, invalidValue> &id) const noexcept
    {
        return std::hash<Representation>{}(id.value);
    }
};
