/** @file member_wire_func.h Conversion between member records and protocol messages. */

#pragma once

#include "membership/member_type.h"

#include "peer.pb.h"

#include <optional>

namespace cicadamux::detail
{

void writeMember(const member_record &record, wire::Member &message);

void writeChange(const change_announcement &change, wire::Object_Generation &message);

/**
 * Converts and validates a record that a peer sent.
 * @return Nothing if the host, address or incarnation is missing, a state is unknown or a text is longer than 255 bytes.
 */
std::optional<member_record> readMember(const wire::Member &message);

} // namespace cicadamux::detail
