/** @file member_wire.cpp Conversion between member records and protocol messages. */

#include "membership/member_wire_func.h"

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxTextBytes = 255; ///< Maximum length of a host, data centre, address or service name.

bool isValid(const wire::Member &message)
{
    if (message.host().empty() || message.peer_address().empty() || message.incarnation() == 0) {
        return false;
    }
    if (message.state() > static_cast<std::uint32_t>(member_state::dead) || message.server() > static_cast<std::uint32_t>(server_state::draining)) {
        return false;
    }
    return message.host().size() <= maxTextBytes && message.data_center().size() <= maxTextBytes && message.peer_address().size() <= maxTextBytes
        && message.service().size() <= maxTextBytes;
}
} // namespace

void writeMember(const member_record &record, wire::Member &message)
{
    message.set_host(record.host);
    message.set_data_center(record.dataCenter);
    message.set_peer_address(record.peerAddress);
    message.set_incarnation(record.incarnation.value);
    message.set_revision(record.revision);
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_service(record.service);
    message.set_server(static_cast<std::uint32_t>(record.server));
    message.set_slots(record.slots);
    message.set_serving_for_ms(static_cast<std::uint64_t>(record.servingFor.count));
    message.set_configuration_digest(record.configurationDigest);
}

void writeChange(const change_announcement &change, wire::Object_Generation &message)
{
    message.set_kind(change.kind);
    message.set_name(change.name);
    message.set_generation(change.generation);
    message.set_operation(change.operation);
}

std::optional<member_record> readMember(const wire::Member &message)
{
    if (!isValid(message)) {
        return std::nullopt;
    }
    member_record record;
    record.host = message.host();
    record.dataCenter = message.data_center();
    record.peerAddress = message.peer_address();
    record.incarnation = incarnation_id{message.incarnation()};
    record.revision = message.revision();
    record.state = static_cast<member_state>(message.state());
    record.service = message.service();
    record.server = static_cast<server_state>(message.server());
    record.slots = message.slots();
    record.servingFor = clock_ms{static_cast<std::int64_t>(message.serving_for_ms())};
    record.configurationDigest = message.configuration_digest();
    return record;
}

} // namespace cicadamux::detail
