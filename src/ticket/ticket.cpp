/** @file ticket.cpp Serialization of tickets: a fixed binary layout followed by its HMAC-SHA256, encoded as base64url. */

#include "ticket/ticket_func.h"

#include "core/mac_func.h"

#include <array>
#include <cstring>
#include <optional>

namespace cicadamux
{

namespace
{
constexpr std::uint8_t layoutVersion = 1;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t maxNameBytes = 63; ///< Of a service or operation name.
constexpr std::size_t maxHostBytes = 190; ///< So that the encoded ticket fits into maxTextLength.
constexpr std::size_t maxTextLength = 512; ///< In characters.
constexpr unsigned byteBits = 8;
constexpr unsigned sextetBits = 6;
constexpr std::string_view sextetDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text;
    std::uint32_t pending = 0;
    unsigned pendingBits = 0;
    for (const char byte : bytes) {
        pending = (pending << byteBits) | static_cast<unsigned char>(byte);
        pendingBits += byteBits;
        while (pendingBits >= sextetBits) {
            pendingBits -= sextetBits;
            text += sextetDigits[(pending >> pendingBits) & 0x3f];
        }
    }
    if (pendingBits > 0) {
        text += sextetDigits[(pending << (sextetBits - pendingBits)) & 0x3f];
    }
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string bytes;
    std::uint32_t pending = 0;
    unsigned pendingBits = 0;
    for (const char digit : text) {
        const std::size_t value = sextetDigits.find(digit);
        if (value == std::string_view::npos) {
            return std::nullopt;
        }
        pending = (pending << sextetBits) | static_cast<std::uint32_t>(value);
        pendingBits += sextetBits;
        if (pendingBits >= byteBits) {
            pendingBits -= byteBits;
            bytes += static_cast<char>((pending >> pendingBits) & 0xff);
        }
    }
    return bytes;
}

void appendNumber(std::string &bytes, std::uint64_t number)
{
    for (unsigned shift = 64; shift > 0; shift -= byteBits) {
        bytes += static_cast<char>((number >> (shift - byteBits)) & 0xff);
    }
}

void appendText(std::string &bytes, std::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes) {
        throw ticket_error(outcome_reason::ticket_invalid, "a name in the ticket is too long");
    }
    bytes += static_cast<char>(text.size());
    bytes += text;
}

[[noreturn]] void throwMalformed()
{
    throw ticket_error(outcome_reason::ticket_invalid, "the ticket is malformed");
}

/** Reads the fields of a payload in order. */
class payload_reader
{
public:
    explicit payload_reader(std::string_view payload)
        : m_rest(payload)
    {
    }

    std::string_view readBytes(std::size_t count)
    {
        if (m_rest.size() < count) {
            throwMalformed();
        }
        const std::string_view bytes = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return bytes;
    }

    std::uint64_t readNumber()
    {
        std::uint64_t number = 0;
        for (const char byte : readBytes(numberBytes)) {
            number = (number << byteBits) | static_cast<unsigned char>(byte);
        }
        return number;
    }

    std::string readText()
    {
        const auto length = static_cast<unsigned char>(readBytes(1).front());
        return std::string(readBytes(length));
    }

    bool atEnd() const
    {
        return m_rest.empty();
    }

private:
    std::string_view m_rest;
};

/** @return The payload of an encoded ticket, after its MAC has been verified. */
std::string verifiedPayload(std::string_view text, std::string_view key)
{
    if (text.size() > maxTextLength) {
        throwMalformed();
    }
    const std::optional<std::string> bytes = decodeBase64Url(text);
    if (!bytes || bytes->size() <= macBytes || encodeBase64Url(*bytes) != text) {
        throwMalformed();
    }
    std::string payload = bytes->substr(0, bytes->size() - macBytes);
    if (!isSameMac(makeMac(key, payload), std::string_view(*bytes).substr(payload.size()))) {
        throw ticket_error(outcome_reason::ticket_invalid, "the ticket's MAC is wrong");
    }
    return payload;
}
} // namespace

std::string encodeTicket(const ticket &subject, std::string_view key)
{
    std::string bytes(1, static_cast<char>(layoutVersion));
    appendNumber(bytes, subject.nonce);
    appendNumber(bytes, subject.homeIncarnation.value);
    appendNumber(bytes, static_cast<std::uint64_t>(subject.expiry.count));
    appendText(bytes, subject.homeHost, maxHostBytes);
    appendText(bytes, subject.service, maxNameBytes);
    appendText(bytes, subject.operation, maxNameBytes);
    bytes += makeMac(key, bytes);
    return encodeBase64Url(bytes);
}

ticket decodeTicket(std::string_view text, std::string_view key)
{
    const std::string payload = verifiedPayload(text, key);
    payload_reader reader(payload);
    if (reader.readBytes(1).front() != static_cast<char>(layoutVersion)) {
        throwMalformed();
    }
    ticket subject;
    subject.nonce = reader.readNumber();
    subject.homeIncarnation.value = reader.readNumber();
    subject.expiry.count = static_cast<std::int64_t>(reader.readNumber());
    subject.homeHost = reader.readText();
    subject.service = reader.readText();
    subject.operation = reader.readText();
    if (!reader.atEnd()) {
        throwMalformed();
    }
    return subject;
}

} // namespace cicadamux
