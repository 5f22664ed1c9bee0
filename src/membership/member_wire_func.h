/** @file member_wire_func.h Member records as protocol messages. */

#pragma once

#include "membership/member_type.h"

#include "peer.pb.h"

#include <optional>

namespace cicadamux::detail
{

/** Fills a message from a record. */
void writeMember(const member_record &record, wire::Member &message);

/** Fills a message from an announcement. */
void writeChange(const change_announcement &change, wire::Object_Generation &message);

/**
 * Reads a record from a peer's message.
 * @return Nothing if it names no host, address or incarnation, has an unknown state or an oversized text.
 */
std::optional<member_record> readMember(const wire::Member &message);

} // namespace cicadamux::detail
