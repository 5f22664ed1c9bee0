/** @file exchange_codec.cpp Member records and full exchanges as messages. */

#include "peer/peer_codec_func.h"

#include <algorithm>

namespace cicadamux {

namespace {
constexpr int maxExchangeMembers = 65'536; ///< Records of one exchange.
constexpr int maxExchangeObjects = 65'536; ///< Generations or objects of one exchange.

void encodeGenerations(const std::vector<object_generation> &generations, google::protobuf::RepeatedPtrField<wire::Object_Generation> &out)
{
    for (const object_generation &generation : generations) {
        wire::Object_Generation *message = out.Add();
        message->set_kind(generation.kind);
        message->set_name(generation.name);
        message->set_generation(generation.generation);
    }
}

std::vector<object_generation> decodeGenerations(const google::protobuf::RepeatedPtrField<wire::Object_Generation> &messages)
{
    if (messages.size() > maxExchangeObjects) {
        throw peer_format_error("too many generations");
    }
    std::vector<object_generation> generations;
    for (const wire::Object_Generation &message : messages) {
        generations.push_back({ message.kind(), message.name(), message.generation() });
    }
    return generations;
}

std::vector<member_record> decodeMembers(const google::protobuf::RepeatedPtrField<wire::Member> &messages)
{
    if (messages.size() > maxExchangeMembers) {
        throw peer_format_error("too many members");
    }
    std::vector<member_record> members;
    members.reserve(static_cast<std::size_t>(messages.size()));
    for (const wire::Member &message : messages) {
        members.push_back(decodeMember(message));
    }
    return members;
}
} // namespace

wire::Member encodeMember(const member_record &record)
{
    wire::Member message;
    message.set_host(record.host);
    message.set_data_center(record.dataCenter);
    message.set_peer_address(record.peerAddress);
    message.set_incarnation(record.incarnation.value);
    message.set_revision(record.revision);
    message.set_state(static_cast<std::uint32_t>(record.state));
    message.set_service(record.service);
    message.set_server(static_cast<std::uint32_t>(record.server));
    message.set_slots(record.slots);
    message.set_serving_for_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(record.servingFor.count, 0)));
    message.set_configuration_digest(record.configurationDigest);
    return message;
}

member_record decodeMember(const wire::Member &message)
{
    if (message.state() > static_cast<std::uint32_t>(member_state::dead) || message.server() > static_cast<std::uint32_t>(server_state::draining)) {
        throw peer_format_error("unknown state of a member");
    }
    if (message.host().empty() || message.host().size() > maxNameLength || message.service().size() > maxNameLength) {
        throw peer_format_error("member without a valid name");
    }
    member_record record;
    record.host = message.host();
    record.dataCenter = message.data_center();
    record.peerAddress = message.peer_address();
    record.incarnation = incarnation_id{ message.incarnation() };
    record.revision = message.revision();
    record.state = static_cast<member_state>(message.state());
    record.service = message.service();
    record.server = static_cast<server_state>(message.server());
    record.slots = message.slots();
    record.servingFor = { static_cast<std::int64_t>(message.serving_for_ms()) };
    record.configurationDigest = message.configuration_digest();
    return record;
}

wire::Exchange_Request encodeExchange(const exchange_request &request)
{
    wire::Exchange_Request message;
    for (const member_record &record : request.members) {
        *message.add_members() = encodeMember(record);
    }
    encodeGenerations(request.generations, *message.mutable_generations());
    message.set_sender_address(request.senderAddress);
    return message;
}

exchange_request decodeExchange(const wire::Exchange_Request &message)
{
    exchange_request request;
    request.members = decodeMembers(message.members());
    request.generations = decodeGenerations(message.generations());
    request.senderAddress = message.sender_address();
    return request;
}

wire::Exchange_Reply encodeExchangeReply(const exchange_reply &reply)
{
    wire::Exchange_Reply message;
    for (const member_record &record : reply.members) {
        *message.add_members() = encodeMember(record);
    }
    for (const configuration_object &object : reply.newer) {
        wire::Object *out = message.add_newer();
        out->set_kind(object.kind);
        out->set_name(object.name);
        out->set_generation(object.generation);
        out->set_value(object.value);
    }
    encodeGenerations(reply.wanted, *message.mutable_wanted());
    return message;
}

exchange_reply decodeExchangeReply(const wire::Exchange_Reply &message)
{
    if (message.newer_size() > maxExchangeObjects) {
        throw peer_format_error("too many objects");
    }
    exchange_reply reply;
    reply.members = decodeMembers(message.members());
    for (const wire::Object &object : message.newer()) {
        reply.newer.push_back({ object.kind(), object.name(), object.generation(), object.value() });
    }
    reply.wanted = decodeGenerations(message.wanted());
    return reply;
}

} // namespace cicadamux
