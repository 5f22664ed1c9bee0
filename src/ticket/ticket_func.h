/** @file ticket_func.h Serialization of tickets as text, authenticated by a MAC. */

#pragma once

#include "ticket/ticket_type.h"

#include <string>
#include <string_view>

namespace cicadamux
{

/** Encodes a ticket as URL-safe text of at most 512 characters, authenticated by an HMAC-SHA256 with the fleet key. */
std::string encodeTicket(const ticket &subject, std::string_view key);

/**
 * Decodes and verifies a ticket.
 * @throws ticket_error with `ticket_invalid` if it is malformed or its MAC is wrong.
 */
ticket decodeTicket(std::string_view text, std::string_view key);

} // namespace cicadamux
