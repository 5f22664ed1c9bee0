/** @file exchange_codec.cpp Conversion of member records and full exchanges to and from messages. */

#include "membership/member_wire_func.h"
#include "peer/peer_codec_func.h"

#include <utility>

namespace cicadamux
{

namespace
{
constexpr int maxExchangeMembers = 65'536; ///< Limit of member records in an exchange.
constexpr int maxExchangeObjects = 65'536; ///< Limit of generations, and of objects, in an exchange.

void encodeGenerations(const std::vector<object_generation> &generations, google::protobuf::RepeatedPtrField<wire::Object_Generation> &out)
{
    for (const object_generation &generation : generations) {
        wire::Object_Generation *message = out.Add();
        message->set_kind(generation.kind);
        message->set_name(generation.name);
        message->set_generation(generation.generation);
        message->set_operation(generation.operation);
    }
}

std::vector<object_generation> decodeGenerations(const google::protobuf::RepeatedPtrField<wire::Object_Generation> &messages)
{
    if (messages.size() > maxExchangeObjects) {
        throw peer_format_error("too many generations");
    }
    std::vector<object_generation> generations;
    for (const wire::Object_Generation &message : messages) {
        generations.push_back({message.kind(), message.name(), message.generation(), message.operation()});
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
    detail::writeMember(record, message);
    return message;
}

member_record decodeMember(const wire::Member &message)
{
    auto record = detail::readMember(message);
    if (!record) {
        throw peer_format_error("member without a valid name, address, incarnation or state");
    }
    return std::move(*record);
}

wire::Exchange_Request encodeExchange(const exchange_request &request)
{
    wire::Exchange_Request message;
    for (const member_record &record : request.members) {
        *message.add_members() = encodeMember(record);
    }
    encodeGenerations(request.generations, *message.mutable_generations());
    message.set_sender_address(request.senderAddress);
    message.set_scope(static_cast<std::uint32_t>(request.scope));
    message.set_data_center(request.filter.dataCenter);
    for (const std::string &service : request.filter.services) {
        message.add_services(service);
    }
    message.mutable_member_digests()->Add(request.memberDigests.begin(), request.memberDigests.end());
    message.set_configuration_digest(request.configurationDigest);
    message.set_sender_data_center(request.senderDataCenter);
    return message;
}

exchange_request decodeExchange(const wire::Exchange_Request &message)
{
    if (message.scope() > static_cast<std::uint32_t>(exchange_scope::named)) {
        throw peer_format_error("unknown scope of an exchange");
    }
    exchange_request request;
    request.scope = static_cast<exchange_scope>(message.scope());
    request.members = decodeMembers(message.members());
    request.generations = decodeGenerations(message.generations());
    request.senderAddress = message.sender_address();
    request.filter.dataCenter = message.data_center();
    request.filter.services.assign(message.services().begin(), message.services().end());
    request.memberDigests.assign(message.member_digests().begin(), message.member_digests().end());
    request.configurationDigest = message.configuration_digest();
    request.senderDataCenter = message.sender_data_center();
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
    message.set_members_differ(reply.membersDiffer);
    message.set_configuration_differs(reply.configurationDiffers);
    message.set_is_cut(reply.isTruncated);
    message.set_data_center(reply.dataCenter);
    message.set_member_buckets(reply.memberBuckets);
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
        reply.newer.push_back({object.kind(), object.name(), object.generation(), object.value()});
    }
    reply.wanted = decodeGenerations(message.wanted());
    reply.membersDiffer = message.members_differ();
    reply.configurationDiffers = message.configuration_differs();
    reply.isTruncated = message.is_cut();
    reply.dataCenter = message.data_center();
    reply.memberBuckets = message.member_buckets();
    return reply;
}

} // namespace cicadamux
