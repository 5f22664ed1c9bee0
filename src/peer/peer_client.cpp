/** @file peer_client.cpp Client for other daemons, using gRPC's callback API. */

#include "peer/peer_client_base.h"

#include "core/invariant_func.h"
#include "core/rcu_type.h"
#include "peer/peer_codec_func.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_set>

namespace cicadamux
{

namespace
{
constexpr std::int64_t channelIdleTimeout = 60'000; ///< Milliseconds.
constexpr int minConnectBackoff = 200; ///< Milliseconds; also the initial back-off.
constexpr int maxConnectBackoff = 2'000; ///< Milliseconds.

/** The gRPC channel to a peer. */
struct peer_channel {
    std::unique_ptr<wire::Peer::Stub> stub;
    std::atomic<std::int64_t> lastUse{0}; ///< Steady clock, milliseconds.
};

/** A message in transit, with the objects that gRPC needs until it has ended. */
template<typename Request, typename Reply>
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
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minConnectBackoff);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minConnectBackoff);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxConnectBackoff);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetString(GRPC_ARG_SERVICE_CONFIG, "{}");
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(maxMessageBytes));
    arguments.SetMaxSendMessageSize(static_cast<int>(maxMessageBytes));
    auto channel = std::make_shared<peer_channel>();
    const std::string target = (address.starts_with('[') ? "ipv6:" : "ipv4:") + address;
    channel->stub = wire::Peer::NewStub(grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments));
    return channel;
}

/**
 * Keeps one channel open for the lifetime of the process. All channels of a process that use callbacks share one completion queue.
 * gRPC shuts it down with the last channel while one of its own threads may still use it, which aborts the process
 * ("assertion failed: prior > 0").
 */
void keepCallbackQueueOpen()
{
    static const auto *kept = [] {
        auto *held = new message<wire::Void_Request, wire::Void_Reply>();
        held->channel = openChannel("127.0.0.1:1", 0);
        held->context.set_deadline(std::chrono::system_clock::now()); // The channel only has to use the queue; nothing is sent.
        held->channel->stub->async()->VoidTicket(&held->context, &held->request, &held->reply, [](const grpc::Status &) {});
        return held;
    }();
    static_cast<void>(kept);
}

} // namespace

namespace
{

constexpr std::size_t shardCount = 16; ///< Number of locks for the messages in transit.

using channel_map = std::map<std::string, std::shared_ptr<peer_channel>, std::less<>>;

/** Some of the messages in transit, with their own lock. */
struct message_shard {
    std::mutex mutex;
    std::condition_variable drained;
    std::unordered_set<std::shared_ptr<peer_pending>> messages;
    bool stopped = false;
};

} // namespace

struct peer_client::state {
    explicit state(std::size_t messageBytes)
        : maxMessageBytes(messageBytes)
    {
    }

    std::shared_ptr<peer_channel> channelTo(const std::string &address)
    {
        const auto current = channels.load();
        const auto found = current->find(address);
        auto channel = found == current->end() ? addChannel(address) : found->second;
        channel->lastUse.store(steadyNow().count, std::memory_order_relaxed);
        return channel;
    }

    std::shared_ptr<peer_channel> addChannel(const std::string &address)
    {
        const std::lock_guard lock(channelsMutex);
        const auto current = channels.load();
        const auto found = current->find(address);
        if (found != current->end()) {
            return found->second;
        }
        auto channel = openChannel(address, maxMessageBytes);
        auto extended = std::make_shared<channel_map>(*current);
        extended->emplace(address, channel);
        channels.publish(std::move(extended));
        return channel;
    }

    message_shard &shardOf(const std::shared_ptr<peer_pending> &pending)
    {
        return shards.at(std::hash<std::shared_ptr<peer_pending>>{}(pending) / alignof(std::max_align_t) % shardCount);
    }

    /** Registers a message as in transit. @return False if the client is stopped. */
    bool add(const std::shared_ptr<peer_pending> &pending)
    {
        message_shard &shard = shardOf(pending);
        const std::lock_guard lock(shard.mutex);
        if (shard.stopped) {
            return false;
        }
        shard.messages.insert(pending);
        return true;
    }

    void remove(const std::shared_ptr<peer_pending> &pending)
    {
        message_shard &shard = shardOf(pending);
        const std::lock_guard lock(shard.mutex);
        shard.messages.erase(pending);
        if (shard.messages.empty()) {
            shard.drained.notify_all();
        }
    }

    std::size_t maxMessageBytes;
    rcu_snapshot<channel_map> channels;
    std::mutex channelsMutex; ///< Serializes changes to `channels`.
    std::array<message_shard, shardCount> shards;
};

namespace
{

/** Creates a message with its time-out. */
template<typename Request, typename Reply>
std::shared_ptr<message<Request, Reply>> makeMessage(const std::shared_ptr<peer_channel> &channel, Request request, clock_ms timeLimit)
{
    auto sent = std::make_shared<message<Request, Reply>>();
    sent->request = std::move(request);
    sent->channel = channel;
    sent->context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeLimit.count));
    return sent;
}

/**
 * @return Whether a failed message has certainly not left this host. gRPC has no separate status for that; its pick_first policy
 * uses this error text only for messages that it has not passed to any connection.
 */
bool wasNeverSent(const grpc::Status &status)
{
    constexpr std::string_view noConnection = "failed to connect to all addresses";
    return status.error_code() == grpc::StatusCode::UNAVAILABLE && std::string_view(status.error_message()).starts_with(noConnection);
}

void finishCall(const grpc::Status &status, message<wire::Call_Request, wire::Call_Reply> &sent, const peer_reply_handler &handler)
{
    if (!status.ok()) {
        handler(wasNeverSent(status) ? peer_failure::not_sent : peer_failure::lost, {});
        return;
    }
    try {
        peer_reply reply = decodeReply(std::move(sent.reply));
        const bool matches = reply.attempt.value == sent.request.attempt();
        checkInvariant(matches, invariant::answer_identity, "a peer replied to another attempt");
        handler(matches ? peer_failure::none : peer_failure::lost, matches ? std::move(reply) : peer_reply{});
    } catch (const peer_format_error &) {
        handler(peer_failure::lost, {});
    }
}

} // namespace

peer_client::peer_client(std::size_t maxMessageBytes)
    : m_state(std::make_shared<state>(maxMessageBytes))
{
    keepCallbackQueueOpen();
}

peer_client::~peer_client()
{
    stop();
}

std::shared_ptr<peer_pending> peer_client::call(const std::string &address, const peer_call &call, clock_ms timeLimit, peer_reply_handler handler)
{
    auto sent = makeMessage<wire::Call_Request, wire::Call_Reply>(m_state->channelTo(address), encodeCall(call, steadyNow()), timeLimit);
    if (!m_state->add(sent)) {
        handler(peer_failure::not_sent, {});
        return sent;
    }
    sent->channel->stub->async()->Call(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            finishCall(status, *sent, handler);
            owner->remove(sent);
        });
    return sent;
}

void peer_client::voidTicket(const std::string &address, std::string_view ticket, clock_ms timeLimit, std::function<void(bool voided)> handler)
{
    wire::Void_Request request;
    request.set_ticket(ticket.data(), ticket.size());
    auto sent = makeMessage<wire::Void_Request, wire::Void_Reply>(m_state->channelTo(address), std::move(request), timeLimit);
    if (!m_state->add(sent)) {
        handler(false);
        return;
    }
    sent->channel->stub->async()->VoidTicket(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            handler(status.ok() && sent->reply.voided());
            owner->remove(sent);
        });
}

void peer_client::exchange(const std::string &address, const exchange_request &request, clock_ms timeLimit, exchange_handler handler)
{
    auto sent = makeMessage<wire::Exchange_Request, wire::Exchange_Reply>(m_state->channelTo(address), encodeExchange(request), timeLimit);
    if (!m_state->add(sent)) {
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
            owner->remove(sent);
        });
}

void peer_client::ask(const std::string &address, std::string_view query, clock_ms timeLimit, std::function<void(std::optional<std::string> json)> handler)
{
    wire::Ask_Request request;
    request.set_query(query.data(), query.size());
    request.set_time_limit_ms(static_cast<std::uint32_t>(timeLimit.count));
    auto sent = makeMessage<wire::Ask_Request, wire::Ask_Reply>(m_state->channelTo(address), std::move(request), timeLimit);
    if (!m_state->add(sent)) {
        handler(std::nullopt);
        return;
    }
    sent->channel->stub->async()->Ask(
        &sent->context, &sent->request, &sent->reply, [owner = m_state, sent, handler = std::move(handler)](const grpc::Status &status) {
            handler(status.ok() ? std::optional(std::move(*sent->reply.mutable_json())) : std::nullopt);
            owner->remove(sent);
        });
}

void peer_client::closeIdleChannels(clock_ms now)
{
    const auto isIdle = [now](const auto &entry) {
        return now.count - entry.second->lastUse.load(std::memory_order_relaxed) > channelIdleTimeout;
    };
    const std::lock_guard lock(m_state->channelsMutex);
    const auto current = m_state->channels.load();
    if (std::ranges::none_of(*current, isIdle)) {
        return;
    }
    auto remaining = std::make_shared<channel_map>(*current);
    std::erase_if(*remaining, isIdle);
    m_state->channels.publish(std::move(remaining));
}

void peer_client::stop()
{
    for (message_shard &shard : m_state->shards) {
        std::unique_lock lock(shard.mutex);
        shard.stopped = true;
        for (const auto &pending : shard.messages) {
            pending->cancel();
        }
        shard.drained.wait(lock, [&shard] {
            return shard.messages.empty();
        });
    }
    const std::lock_guard lock(m_state->channelsMutex);
    m_state->channels.publish(std::make_shared<const channel_map>());
}

std::size_t peer_client::channels() const
{
    return m_state->channels.load()->size();
}

} // namespace cicadamux
