/** @file link_codec.cpp Encodes and decodes link messages with protobuf. */

#include "link/link_codec_func.h"

#include "http/http_status_type.h"
#include "http/http_type.h"
#include "link.pb.h"

#include <algorithm>
#include <cmath>

namespace cicadamux
{

namespace
{
constexpr double permille = 1'000;

using wire_fields = google::protobuf::RepeatedPtrField<link_wire::Field>;

void encodeFields(std::vector<http_field> const &fields, wire_fields &out)
{
    for (const http_field &field : fields) {
        link_wire::Field &written = *out.Add();
        written.set_name(field.name);
        written.set_value(field.value);
    }
}

std::vector<http_field> decodeFields(const wire_fields &fields)
{
    std::vector<http_field> result;
    result.reserve(static_cast<std::size_t>(fields.size()));
    for (const link_wire::Field &field : fields) {
        result.push_back({field.name(), field.value()});
    }
    return result;
}

std::uint32_t toWire(clock_ms span)
{
    return span.count > 0 ? static_cast<std::uint32_t>(span.count) : 0;
}

void encodeStatement(const server_statement &statement, link_wire::Server_Statement &out)
{
    out.set_server(statement.server.value);
    out.set_heard(statement.isHeard);
    out.set_leaving(statement.leaving);
    if (statement.maxRate) {
        out.set_max_rate(*statement.maxRate);
    }
}

server_statement decodeStatement(const link_wire::Server_Statement &statement)
{
    server_statement result;
    result.server = server_incarnation{statement.server()};
    result.isHeard = statement.heard();
    result.leaving = statement.leaving();
    if (statement.has_max_rate()) {
        if (!std::isfinite(statement.max_rate()) || statement.max_rate() < 0) {
            throw link_error("statement with rate " + std::to_string(statement.max_rate()));
        }
        result.maxRate = statement.max_rate();
    }
    return result;
}

void encodeReport(const host_report &report, link_wire::Report &out)
{
    out.set_incarnation(report.incarnation.value);
    out.set_configuration_version(report.configurationVersion);
    out.set_server_state(static_cast<std::uint32_t>(report.server));
    out.set_in_use(report.inUse);
    out.set_waiting(report.waiting);
    out.set_limit(report.limit);
    out.set_usable_limit(report.usableLimit);
    out.set_no_room_ms(toWire(report.noRoomFor));
    out.set_mean_run_ms(toWire(report.meanRun));
    out.set_leaving(report.leaving);
    if (report.statement.server.isValid()) {
        encodeStatement(report.statement, *out.mutable_statement());
    }
    for (const route_run &run : report.runs) {
        link_wire::Route_Run &written = *out.add_runs();
        written.set_route(run.route);
        written.set_mean_ms(toWire(run.mean));
    }
}

host_report decodeReport(const link_wire::Report &report)
{
    if (report.server_state() > static_cast<std::uint32_t>(server_state::draining)) {
        throw link_error("report with unknown server state " + std::to_string(report.server_state()));
    }
    host_report result;
    result.incarnation = incarnation_id{report.incarnation()};
    result.configurationVersion = report.configuration_version();
    result.server = static_cast<server_state>(report.server_state());
    result.inUse = report.in_use();
    result.waiting = report.waiting();
    result.limit = report.limit();
    result.usableLimit = report.usable_limit() == 0 ? report.limit() : report.usable_limit();
    result.noRoomFor = clock_ms{report.no_room_ms()};
    result.meanRun = clock_ms{report.mean_run_ms()};
    result.leaving = report.leaving();
    result.statement = decodeStatement(report.statement());
    for (const link_wire::Route_Run &run : report.runs()) {
        result.runs.push_back({run.route(), clock_ms{run.mean_ms()}});
    }
    return result;
}

/** Visitor that fills in the protobuf message. */
struct message_encoder {
    link_wire::Message &out;

    void operator()(const link_call &call) const
    {
        link_wire::Call &written = *out.mutable_call();
        written.set_id(call.id.value);
        written.set_remaining_ms(toWire(call.remaining));
        written.set_max_wait_ms(toWire(call.maxWait));
        written.set_rank(call.rank);
        written.set_idempotent(call.idempotent);
        written.set_repeat_permille(static_cast<std::uint32_t>(call.repeatWeight * permille));
        written.set_service(call.service);
        written.set_caller_service(call.callerService);
        written.set_request(call.requestId);
        written.set_route(call.route);
        written.set_method(call.method);
        written.set_target(call.target);
        encodeFields(call.headers, *written.mutable_headers());
        written.set_body(call.body);
    }

    void operator()(const server_statement &statement) const
    {
        encodeStatement(statement, *out.mutable_statement());
    }

    void operator()(const link_reply &reply) const
    {
        link_wire::Reply &written = *out.mutable_reply();
        written.set_id(reply.id.value);
        written.set_outcome(static_cast<std::uint32_t>(reply.outcome));
        written.set_reason(static_cast<std::uint32_t>(reply.reason));
        written.set_retry_after_ms(toWire(reply.retryAfter));
        written.set_reached_server(reply.reachedServer);
        written.set_lost_call(static_cast<std::uint32_t>(reply.lostCall));
        written.set_status(reply.status);
        encodeFields(reply.headers, *written.mutable_headers());
        written.set_body(reply.body);
        encodeReport(reply.report, *written.mutable_report());
    }

    void operator()(const link_cancel &cancel) const
    {
        out.mutable_cancel()->set_id(cancel.id.value);
    }

    void operator()(const link_probe & /*probe*/) const
    {
        out.mutable_probe();
    }

    void operator()(const host_report &report) const
    {
        encodeReport(report, *out.mutable_report());
    }

    void operator()(const configuration_request &ask) const
    {
        out.mutable_ask()->set_newer_than(ask.newerThan);
    }

    void operator()(const configuration_offer &offer) const
    {
        out.mutable_configuration()->set_version(offer.version);
        out.mutable_configuration()->set_text(offer.text);
    }

    void operator()(const host_introduction &introduction) const
    {
        for (const std::string &entry : introduction.entries) {
            out.mutable_hosts()->add_entries(entry);
        }
    }

    void operator()(const link_hello &hello) const
    {
        out.mutable_hello()->set_nonce(hello.nonce);
    }

    void operator()(const link_challenge &challenge) const
    {
        out.mutable_challenge()->set_nonce(challenge.nonce);
        out.mutable_challenge()->set_proof(challenge.proof);
    }

    void operator()(const link_proof &proof) const
    {
        out.mutable_proof()->set_proof(proof.proof);
    }
};

link_call decodeCall(link_wire::Call &call)
{
    link_call result;
    result.id = call_id{call.id()};
    result.remaining = clock_ms{call.remaining_ms()};
    result.maxWait = clock_ms{call.max_wait_ms()};
    result.rank = call.rank();
    result.idempotent = call.idempotent();
    result.repeatWeight = std::min(1.0, call.repeat_permille() / permille);
    result.service = std::move(*call.mutable_service());
    result.callerService = std::move(*call.mutable_caller_service());
    result.requestId = std::move(*call.mutable_request());
    result.route = std::move(*call.mutable_route());
    result.method = std::move(*call.mutable_method());
    result.target = std::move(*call.mutable_target());
    result.headers = decodeFields(call.headers());
    result.body = std::move(*call.mutable_body());
    return result;
}

link_reply decodeReply(link_wire::Reply &reply)
{
    if (reply.outcome() > static_cast<std::uint32_t>(call_outcome::unknown) || reply.reason() >= static_cast<std::uint32_t>(outcome_reason::count)
        || reply.lost_call() > static_cast<std::uint32_t>(call_loss::no_capacity)) {
        throw link_error("reply with an unknown outcome, reason or kind of lost call");
    }
    const bool isAnswered = static_cast<call_outcome>(reply.outcome()) == call_outcome::answered;
    if (reply.status() > http_status::last || (isAnswered && reply.status() < http_status::firstFinal)) {
        throw link_error("reply with status " + std::to_string(reply.status()));
    }
    link_reply result;
    result.id = call_id{reply.id()};
    result.outcome = static_cast<call_outcome>(reply.outcome());
    result.reason = static_cast<outcome_reason>(reply.reason());
    result.retryAfter = clock_ms{reply.retry_after_ms()};
    result.reachedServer = reply.reached_server();
    result.lostCall = static_cast<call_loss>(reply.lost_call());
    result.status = reply.status();
    result.headers = decodeFields(reply.headers());
    if (!std::ranges::all_of(result.headers, isWellFormed)) {
        throw link_error("reply with a malformed header");
    }
    result.body = std::move(*reply.mutable_body());
    result.report = decodeReport(reply.report());
    return result;
}
} // namespace

std::string encodeFrame(const link_message &message)
{
    link_wire::Message out;
    std::visit(message_encoder{out}, message);
    const std::size_t size = out.ByteSizeLong();
    constexpr unsigned byteBits = 8;
    std::string frame(frameHeaderSize, '\0');
    for (std::size_t index = 0; index < frameHeaderSize; ++index) {
        frame[index] = static_cast<char>((size >> (byteBits * index)) & 0xffU);
    }
    frame.reserve(frameHeaderSize + size);
    out.AppendToString(&frame);
    return frame;
}

std::size_t decodeFrameLength(std::string_view header)
{
    constexpr unsigned byteBits = 8;
    std::size_t size = 0;
    for (std::size_t index = 0; index < frameHeaderSize; ++index) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(header[index])) << (byteBits * index);
    }
    return size;
}

link_message decodeMessage(std::string_view bytes)
{
    link_wire::Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw link_error("link message of " + std::to_string(bytes.size()) + " bytes could not be parsed");
    }
    switch (message.content_case()) {
    case link_wire::Message::kCall:
        return decodeCall(*message.mutable_call());
    case link_wire::Message::kReply:
        return decodeReply(*message.mutable_reply());
    case link_wire::Message::kStatement:
        return decodeStatement(message.statement());
    case link_wire::Message::kCancel:
        return link_cancel{call_id{message.cancel().id()}};
    case link_wire::Message::kProbe:
        return link_probe{};
    case link_wire::Message::kReport:
        return decodeReport(message.report());
    case link_wire::Message::kAsk:
        return configuration_request{message.ask().newer_than()};
    case link_wire::Message::kConfiguration:
        return configuration_offer{message.configuration().version(), message.configuration().text()};
    case link_wire::Message::kHosts:
        return host_introduction{{message.hosts().entries().begin(), message.hosts().entries().end()}};
    case link_wire::Message::kHello:
        return link_hello{message.hello().nonce()};
    case link_wire::Message::kChallenge:
        return link_challenge{message.challenge().nonce(), message.challenge().proof()};
    case link_wire::Message::kProof:
        return link_proof{message.proof().proof()};
    case link_wire::Message::CONTENT_NOT_SET:
        break;
    }
    throw link_error("link message without content");
}

} // namespace cicadamux
