/** @file peer_codec.cpp Conversion of calls and replies to and from messages. */

#include "peer/peer_codec_func.h"

#include "http/http_status_type.h"
#include "http/http_type.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxHeaders = 256; ///< Limit of headers in a call or reply.
constexpr std::size_t maxLevels = 64; ///< Limit of levels in a reply.

void encodeHeaders(const std::vector<http_field> &headers, google::protobuf::RepeatedPtrField<wire::Header> &out)
{
    for (const http_field &field : headers) {
        wire::Header *header = out.Add();
        header->set_name(field.name);
        header->set_value(field.value);
    }
}

std::vector<http_field> decodeHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers)
{
    if (static_cast<std::size_t>(headers.size()) > maxHeaders) {
        throw peer_format_error("too many headers");
    }
    std::vector<http_field> decoded;
    decoded.reserve(static_cast<std::size_t>(headers.size()));
    for (const wire::Header &header : headers) {
        decoded.push_back({header.name(), header.value()});
    }
    return decoded;
}

call_context decodeContext(const wire::Call_Request &message, clock_ms now)
{
    if (message.rank() >= maxRanks || message.depth() > maxCallDepth || message.retry_allowance() > maxRetryAllowance) {
        throw peer_format_error("rank, depth or retry allowance out of range");
    }
    call_context context;
    context.root = root_id{message.root()};
    context.rank = rank_id{static_cast<std::uint8_t>(message.rank())};
    context.callClass = message.call_class();
    context.isProtected = message.is_protected();
    context.lateOk = message.late_ok();
    context.deadline = now + clock_ms{message.remaining_ms()};
    context.depth = static_cast<std::uint8_t>(message.depth());
    context.retryAllowance = message.retry_allowance();
    return context;
}

received_level decodeLevel(const wire::Level &message)
{
    if (message.rank() > maxRanks || message.sub_level() > subLevelCount) {
        throw peer_format_error("level out of range");
    }
    received_level received;
    received.service = message.service();
    received.host = message.host();
    received.level = {rank_id{static_cast<std::uint8_t>(message.rank())}, static_cast<std::uint16_t>(message.sub_level())};
    received.age = {message.age_ms()};
    return received;
}

refusal_detail decodeDetail(const wire::Call_Reply &message)
{
    if (message.reason() >= static_cast<std::uint32_t>(outcome_reason::count)) {
        throw peer_format_error("unknown reason");
    }
    refusal_detail detail;
    detail.reason = static_cast<outcome_reason>(message.reason());
    detail.service = message.service();
    detail.operation = message.operation();
    detail.host = message.host();
    detail.dataCenter = message.data_center();
    detail.rankAdmitted = message.rank_admitted();
    return detail;
}
} // namespace

wire::Call_Request encodeCall(const peer_call &call, clock_ms now)
{
    const call_request &request = call.request;
    const call_context &context = request.context;
    wire::Call_Request message;
    message.set_root(context.root.value);
    message.set_attempt(call.attempt.value);
    message.set_service(request.service);
    message.set_operation(request.operation);
    message.set_call_class(context.callClass);
    message.set_rank(context.rank.value);
    message.set_is_protected(context.isProtected);
    message.set_late_ok(context.lateOk);
    message.set_remaining_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>((context.deadline - now).count, 0, maxDeadline)));
    message.set_depth(context.depth);
    message.set_retry_allowance(context.retryAllowance);
    message.set_at_most_once(request.atMostOnce);
    message.set_ticket(request.ticket);
    message.set_method(request.method);
    message.set_target(request.target);
    encodeHeaders(request.headers, *message.mutable_headers());
    message.set_body(request.body);
    message.set_home_incarnation(call.homeIncarnation.value);
    return message;
}

peer_call decodeCall(const wire::Call_Request &message, clock_ms now)
{
    peer_call call;
    call.attempt = call_id{message.attempt()};
    call.homeIncarnation = incarnation_id{message.home_incarnation()};
    call.request.context = decodeContext(message, now);
    call.request.service = message.service();
    call.request.operation = message.operation();
    call.request.atMostOnce = message.at_most_once();
    call.request.ticket = message.ticket();
    call.request.method = message.method();
    call.request.target = message.target();
    call.request.headers = decodeHeaders(message.headers());
    call.request.body = message.body();
    if (!call.attempt.isValid() || !call.request.context.root.isValid()) {
        throw peer_format_error("call without a root or an attempt");
    }
    return call;
}

wire::Call_Reply encodeReply(const peer_reply &reply)
{
    const refusal_detail &detail = reply.result.detail;
    wire::Call_Reply message;
    message.set_attempt(reply.attempt.value);
    message.set_outcome(static_cast<std::uint32_t>(reply.result.outcome));
    message.set_reason(static_cast<std::uint32_t>(detail.reason));
    message.set_service(detail.service);
    message.set_operation(detail.operation);
    message.set_host(detail.host);
    message.set_data_center(detail.dataCenter);
    message.set_rank_admitted(detail.rankAdmitted);
    message.set_status(reply.result.status);
    encodeHeaders(reply.result.headers, *message.mutable_headers());
    message.set_body(reply.result.body);
    message.set_retries_unspent(reply.result.retriesUnspent);
    for (const received_level &received : reply.levels) {
        wire::Level *level = message.add_levels();
        level->set_service(received.service);
        level->set_host(received.host);
        level->set_rank(received.level.rank.value);
        level->set_sub_level(received.level.subLevel);
        level->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(received.age.count, 0)));
    }
    message.set_in_use(reply.inUse);
    message.set_waiting(reply.waiting);
    message.set_limit(reply.limit);
    return message;
}

peer_reply decodeReply(wire::Call_Reply &&message)
{
    if (message.outcome() > static_cast<std::uint32_t>(call_outcome::unknown) || static_cast<std::size_t>(message.levels_size()) > maxLevels) {
        throw peer_format_error("unknown outcome or too many levels");
    }
    peer_reply reply;
    reply.attempt = call_id{message.attempt()};
    reply.result.outcome = static_cast<call_outcome>(message.outcome());
    reply.result.detail = decodeDetail(message);
    if (outcomeOf(reply.result.detail.reason) != reply.result.outcome) {
        throw peer_format_error("the reason doesn't fit the outcome");
    }
    reply.result.status = message.status();
    reply.result.headers = decodeHeaders(message.headers());
    const bool isAnswered = reply.result.outcome == call_outcome::answered;
    if (isAnswered && (message.status() < http_status::firstFinal || message.status() > http_status::last)) {
        throw peer_format_error("answer with status " + std::to_string(message.status()));
    }
    if (!std::ranges::all_of(reply.result.headers, isWellFormed)) {
        throw peer_format_error("answer with a malformed header");
    }
    reply.result.body = std::move(*message.mutable_body());
    reply.result.retriesUnspent = message.retries_unspent();
    for (const wire::Level &level : message.levels()) {
        reply.levels.push_back(decodeLevel(level));
    }
    reply.inUse = message.in_use();
    reply.waiting = message.waiting();
    reply.limit = message.limit();
    return reply;
}

} // namespace cicadamux
