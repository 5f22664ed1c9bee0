/** @file id.cpp Hexadecimal text form of identifiers. */

#include "core/id_type.h"

#include <charconv>

namespace cicadamux
{

namespace
{
constexpr std::size_t idDigits = 16;
constexpr int hexBase = 16;

bool isLowerHexDigit(char digit)
{
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}
} // namespace

std::string toHex(std::uint64_t value)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text(idDigits, '0');
    for (std::size_t position = idDigits; position > 0 && value != 0; --position) {
        text[position - 1] = digits[value & 0xf];
        value >>= 4;
    }
    return text;
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    if (text.size() != idDigits) {
        return std::nullopt;
    }
    for (const char digit : text) {
        if (!isLowerHexDigit(digit)) {
            return std::nullopt;
        }
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    return value;
}

} // namespace cicadamux
