/** @file http_headers.cpp Header lookup and the rules for forwarding headers. */

#include "http/http_type.h"

#include <algorithm>
#include <array>

namespace cicadamux
{

namespace
{
constexpr std::string_view reservedPrefix = "cicadamux-";

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

/** RFC 9110, section 5.6.2. */
bool isTokenCharacter(char character)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const char lowered = lower(character);
    return (lowered >= 'a' && lowered <= 'z') || (character >= '0' && character <= '9') || symbols.find(character) != std::string_view::npos;
}

bool isControl(char character)
{
    constexpr char firstPrintable = ' ';
    constexpr char deleteCharacter = 0x7f;
    const bool isAscii = static_cast<signed char>(character) >= 0;
    return isAscii && (character < firstPrintable || character == deleteCharacter) && character != '\t';
}
} // namespace

bool isWellFormed(const http_field &field)
{
    return !field.name.empty() && std::ranges::all_of(field.name, isTokenCharacter) && std::ranges::none_of(field.value, isControl);
}

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

std::optional<std::string_view> findHeader(std::span<const http_field> headers, std::string_view name)
{
    for (const http_field &field : headers) {
        if (sameHeaderName(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names = {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "proxy-authorization",
        "proxy-connection",
    };
    return std::ranges::any_of(names, [name](std::string_view hopByHop) {
        return sameHeaderName(name, hopByHop);
    });
}

bool isReservedHeader(std::string_view name)
{
    return name.size() >= reservedPrefix.size() && sameHeaderName(name.substr(0, reservedPrefix.size()), reservedPrefix);
}

std::vector<http_field> forwardableHeaders(std::span<const http_field> headers)
{
    std::vector<http_field> kept;
    kept.reserve(headers.size());
    std::ranges::copy_if(headers, std::back_inserter(kept), [](const http_field &field) {
        return !isHopByHop(field.name) && !isReservedHeader(field.name);
    });
    return kept;
}

} // namespace cicadamux
