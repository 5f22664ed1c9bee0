/** @file peer_client.cpp Messages to other daemons by gRPC's callback API. */

#include "peer/peer_client_base.h"

#include "core/invariant_func.h"
#include "peer/peer_codec_func.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace cicadamux {

namespace {
constexpr std::int64_t unusedChannelLife = 60'000; // Milliseconds.
constexpr int connectBackoff = 200; // Milliseconds, the first and least one.
constexpr int maxConnectBackoff = 2'000; // Milliseconds.

/** One peer's channel. */
struct peer_channel {
    std::unique_ptr<wire::Peer::Stub> stub;
    std::string target; ///< As gRPC names it while a message has no connection.
    std::atomic<std::int64_t> lastUse{ 0 }; ///< Milliseconds on the monotonic clock.
};

/** A message on its way, with all that gRPC needs until it has ended. */
template <typename Request, typename Reply>
struct message : peer_pending {
    void cancel() override
    {
        context.TryCancel();
    }

    grpc::ClientContext context;
    Request request;
    Reply reply;
    std::shared_ptr<peer_channel> channel;
};

std::shared_ptr<peer_channel> openChannel(const std::string &address, std::size_t maxMessageBytes)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, connectBackoff);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectBackoff);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxConnectBackoff);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetString(GRPC_ARG_SERVICE_CONFIG, "{}");
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(maxMessageBytes));
    arguments.SetMaxSendMessageSize(static_cast<int>(maxMessageBytes));
    auto channel = std::make_shared<peer_channel>();
    channel->target = "dns:///" + address;
    channel->stub = wire::Peer::NewStub(grpc::CreateCustomChannel(channel->target, grpc::InsecureChannelCredentials(), arguments));
    return channel;
}

} // namespace

struct peer_client::state {
    explicit state(std::size_t messageBytes)
        : maxMessageBytes(messageBytes)
    {
    }

    std::shared_ptr<peer_channel> channelTo(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        auto &channel = channels[address];
        if (!channel) {
            channel = openChannel(address, maxMessageBytes);
        }
        channel->lastUse = steadyNow().count;
        return channel;
    }

    /** Counts a message as being on its way. @return False if the client is stopped. */
    bool begin(const std::shared_ptr<peer_pending> &pending)
    {
        const std::lock_guard lock(mutex);
        if (stopped) {
            return false;
        }
        onTheirWay.insert(pending);
        return true;
    }

    void end(const std::shared_ptr<peer_pending> &pending)
    {
        const std::lock_guard lock(mutex);
        onTheirWay.erase(pending);
        if (onTheirWay.empty()) {
            drained.notify_all();
        }
    }

    std::size_t maxMessageBytes;
    std::mutex mutex;
    std::condition_variable drained;
    std::map<std::string, std::shared_ptr<peer_channel>> channels;
    std::set<std::shared_ptr<peer_pending>> onTheirWay;
    bool stopped = false;
};

namespace {

/** Prepares a message with its time limit. */
template <typename Request, typename Reply>
std::shared_ptr<message<Request, Reply>> prepare(const std::shared_ptr<peer_channel> &channel, Request request, clock_ms timeLimit)
{
    auto sent = std::make_shared<message<Request, Reply>>();
    sent->request = std::move(request);
    sent->channel = channel;
    sent->context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeLimit.count));
    return sent;
}

/**
 * Tells whether a failed message has surely never left this host: gRPC names the connection's address (`ipv4:…`) once a message
 * has been given to a connection, and the channel's target (`dns:///…`) until then.
 */
bool neverLeft(const grpc::ClientContext &context, const peer_channel &channel)
{
    return context.peer() == channel.target;
}

void finishCall(const grpc::Status &status, message<wire::Call_Request, wire::Call_Reply> &sent, const peer_reply_handler &handler)
{
    if (!status.ok()) {
        handler(neverLeft(sent.context, *sent.channel) ? peer_failure::not_sent : peer_failure::lost, {});
        return;
    }
    try {
        peer_reply reply = decodeReply(std::move(sent.reply));
        const bool matches = reply.attempt.value == sent.request.attempt();
        checkInvariant(matches, invariant::answer_identity, "reply of a peer to another attempt");
        handler(matches ? peer_failure::none : peer_failure::lost, matches ? std::move(reply) : peer_reply{});
    } catch (const peer_format_error &) {
        handler(peer_failure::lost, {});
    }
}

} // namespace

peer_client::peer_client(std::size_t maxMessageBytes)
    : m_state(std::make_shared<state>(maxMessageBytes))
{
}

peer_client::~peer_client()
{
    stop();
}

std::shared_ptr<peer_pending> peer_client::call(const std::string &address, const peer_call &call, clock_ms timeLimit, peer_reply_handler handler)
{
    auto sent = prepare<wire::Call_Request, wire::Call_Reply>(m_state->channelTo(address), encodeCall(call, steadyNow()), timeLimit);
    if (!m_state->begin(sent)) {
        handler(peer_failure::not_sent, {});
        return sent;
    }
    sent->channel->stub->async()->Call(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            finishCall(status, *sent, handler);
            owner->end(sent);
        });
    return sent;
}

void peer_client::voidTicket(const std::string &address, std::string_view ticket, clock_ms timeLimit, std::function<void(bool voided)> handler)
{
    wire::Void_Request request;
    request.set_ticket(ticket.data(), ticket.size());
    auto sent = prepare<wire::Void_Request, wire::Void_Reply>(m_state->channelTo(address), std::move(request), timeLimit);
    if (!m_state->begin(sent)) {
        handler(false);
        return;
    }
    sent->channel->stub->async()->VoidTicket(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            handler(status.ok() && sent->reply.voided());
            owner->end(sent);
        });
}

void peer_client::exchange(const std::string &address, const exchange_request &request, clock_ms timeLimit, exchange_handler handler)
{
    auto sent = prepare<wire::Exchange_Request, wire::Exchange_Reply>(m_state->channelTo(address), encodeExchange(request), timeLimit);
    if (!m_state->begin(sent)) {
        handler(std::nullopt);
        return;
    }
    sent->channel->stub->async()->Exchange(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            std::optional<exchange_reply> reply;
            try {
                if (status.ok()) {
                    reply = decodeExchangeReply(sent->reply);
                }
            } catch (const peer_format_error &) {
                reply.reset();
            }
            handler(std::move(reply));
            owner->end(sent);
        });
}

void peer_client::ask(const std::string &address, std::string_view query, clock_ms timeLimit, std::function<void(std::optional<std::string> json)> handler)
{
    wire::Ask_Request request;
    request.set_query(query.data(), query.size());
    request.set_time_limit_ms(static_cast<std::uint32_t>(timeLimit.count));
    auto sent = prepare<wire::Ask_Request, wire::Ask_Reply>(m_state->channelTo(address), std::move(request), timeLimit);
    if (!m_state->begin(sent)) {
        handler(std::nullopt);
        return;
    }
    sent->channel->stub->async()->Ask(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            handler(status.ok() ? std::optional(std::move(*sent->reply.mutable_json())) : std::nullopt);
            owner->end(sent);
        });
}

void peer_client::dropUnused(clock_ms now)
{
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->channels, [now](const auto &known) { return now.count - known.second->lastUse > unusedChannelLife; });
}

void peer_client::stop()
{
    std::unique_lock lock(m_state->mutex);
    m_state->stopped = true;
    for (const auto &pending : m_state->onTheirWay) {
        pending->cancel();
    }
    m_state->drained.wait(lock, [this] { return m_state->onTheirWay.empty(); });
    m_state->channels.clear();
}

std::size_t peer_client::channels() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->channels.size();
}

} // namespace cicadamux
