/** @file id_type.h Typed identifiers, each with an invalid value. */

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

/** An identifier that can't be mixed up with one of another kind. */
template<typename Tag, typename Representation, Representation invalidValue>
struct typed_id {
    Representation value = invalidValue; ///< The raw identifier.

    constexpr auto operator<=>(const typed_id &) const = default; // NOLINT(modernize-use-nullptr): false alarm of clang-tidy 14 at each comparison

    /** @return Whether this names something. */
    constexpr bool isValid() const
    {
        return value != invalidValue;
    }

    /** @return The identifier that names nothing. */
    static constexpr typed_id invalid()
    {
        return {};
    }
};

/** Names one request from outside and all the calls made for it. */
using root_id = typed_id<struct root_tag, std::uint64_t, 0>;
/** Names one attempt of one call. */
using call_id = typed_id<struct call_tag, std::uint64_t, 0>;
/** A position in the policy's list of ranks; 0 is the most urgent. */
using rank_id = typed_id<struct rank_tag, std::uint8_t, 255>;
/** One life of a daemon; a later life has a greater one. */
using incarnation_id = typed_id<struct incarnation_tag, std::uint64_t, 0>;

/** Formats a 64-bit identifier as 16 lower-case hexadecimal digits. */
std::string toHex(std::uint64_t value);

/**
 * Parses what toHex() wrote.
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
