/** @file ticket_text_test.cpp Tickets are unchanged by encoding and decoding, and altered text is refused. */

#include "support/seeds_func.h"
#include "ticket/ticket_func.h"

#include <doctest/doctest.h>

#include <random>

using namespace cicadamux;

namespace
{
std::string randomText(std::mt19937_64 &random, std::size_t maxLength)
{
    std::string text(random() % (maxLength + 1), ' ');
    for (char &byte : text) {
        byte = static_cast<char>(random());
    }
    return text;
}

ticket randomTicket(std::mt19937_64 &random)
{
    ticket subject;
    subject.nonce = random();
    subject.homeHost = randomText(random, 190);
    subject.homeIncarnation.value = random();
    subject.service = randomText(random, 63);
    subject.operation = randomText(random, 63);
    subject.expiry.count = static_cast<std::int64_t>(random());
    return subject;
}

outcome_reason decodingError(std::string_view text, std::string_view key)
{
    try {
        decodeTicket(text, key);
    } catch (const ticket_error &fault) {
        return fault.reason();
    }
    return outcome_reason::none;
}
} // namespace

TEST_CASE("a ticket survives its text form; an altered one, a wrong key and foreign text are refused")
{
    for (std::uint64_t seed = 1; seed <= test::seedCount(2'000); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const ticket subject = randomTicket(random);
        const std::string text = encodeTicket(subject, "key");
        const ticket decoded = decodeTicket(text, "key");
        REQUIRE((decoded.nonce == subject.nonce && decoded.expiry == subject.expiry));
        REQUIRE((decoded.homeHost == subject.homeHost && decoded.homeIncarnation == subject.homeIncarnation));
        REQUIRE((decoded.service == subject.service && decoded.operation == subject.operation));

        const std::size_t position = random() % text.size();
        std::string altered = text;
        altered[position] = static_cast<char>(altered[position] + 1 + static_cast<int>(random() % 255));
        REQUIRE((decodingError(altered, "key") == outcome_reason::ticket_invalid));
        REQUIRE((decodingError(text.substr(0, position), "key") == outcome_reason::ticket_invalid));
        REQUIRE((decodingError(text, "yek") == outcome_reason::ticket_invalid));
        REQUIRE((decodingError(randomText(random, 600), "key") == outcome_reason::ticket_invalid));
    }
}

TEST_CASE("the longest ticket fits into 512 characters")
{
    ticket subject;
    subject.homeHost = std::string(190, 'h');
    subject.service = std::string(63, 's');
    subject.operation = std::string(63, 'o');
    const std::string text = encodeTicket(subject, "key");
    CHECK(text.size() <= 512);
    CHECK(decodeTicket(text, "key").operation == subject.operation);
    subject.homeHost += 'h';
    CHECK_THROWS_AS(encodeTicket(subject, "key"), ticket_error);
}
