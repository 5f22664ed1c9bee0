/** @file peer_server.cpp gRPC listener for other daemons, using gRPC's callback API. */

#include "peer/peer_server_base.h"

#include "http/http_server_base.h"
#include "peer/peer_codec_func.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <chrono>
#include <mutex>

namespace cicadamux
{

namespace
{

/** Passes the sender's cancellation, which may arrive at any time, to the running call. */
class cancel_link
{
public:
    /** Sets the function that cancels the call; calls it at once if the sender has already cancelled. */
    void setHandler(std::function<void()> handler)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_cancelled) {
                m_handler = std::move(handler);
                return;
            }
        }
        if (handler) {
            handler();
        }
    }

    /** Handles cancellation by the sender. */
    void cancel()
    {
        std::function<void()> handler;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelled = true;
            handler = std::exchange(m_handler, nullptr);
        }
        if (handler) {
            handler();
        }
    }

private:
    std::mutex m_mutex;
    std::function<void()> m_handler;
    bool m_cancelled = false;
};

/** Reactor of one message; deletes itself in OnDone(). */
class message_reactor : public grpc::ServerUnaryReactor
{
public:
    std::shared_ptr<cancel_link> link() const
    {
        return m_link;
    }

private:
    void OnCancel() override
    {
        m_link->cancel();
    }

    void OnDone() override
    {
        delete this;
    }

    std::shared_ptr<cancel_link> m_link = std::make_shared<cancel_link>();
};

grpc::Status makeFormatStatus(const peer_format_error &failure)
{
    return {grpc::StatusCode::INVALID_ARGUMENT, failure.what()};
}

class peer_service : public wire::Peer::CallbackService
{
public:
    explicit peer_service(peer_server_hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    grpc::ServerUnaryReactor *Call(grpc::CallbackServerContext *, const wire::Call_Request *request, wire::Call_Reply *reply) override
    {
        auto *reactor = new message_reactor;
        peer_call call;
        try {
            call = decodeCall(*request, steadyNow());
        } catch (const peer_format_error &failure) {
            reactor->Finish(makeFormatStatus(failure));
            return reactor;
        }
        const auto link = reactor->link();
        link->setHandler(m_hooks.call(std::move(call), [reactor, reply](const peer_reply &answer) {
            *reply = encodeReply(answer);
            reactor->Finish(grpc::Status::OK);
        }));
        return reactor;
    }

    grpc::ServerUnaryReactor *VoidTicket(grpc::CallbackServerContext *context, const wire::Void_Request *request, wire::Void_Reply *reply) override
    {
        reply->set_voided(m_hooks.voidTicket(request->ticket()));
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context, const wire::Exchange_Request *request, wire::Exchange_Reply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        try {
            *reply = encodeExchangeReply(m_hooks.exchange(decodeExchange(*request)));
            reactor->Finish(grpc::Status::OK);
        } catch (const peer_format_error &failure) {
            reactor->Finish(makeFormatStatus(failure));
        }
        return reactor;
    }

    grpc::ServerUnaryReactor *Ask(grpc::CallbackServerContext *, const wire::Ask_Request *request, wire::Ask_Reply *reply) override
    {
        auto *reactor = new message_reactor;
        m_hooks.ask(request->query(), clock_ms{request->time_limit_ms()}, [reactor, reply](const std::string &json) {
            reply->set_json(json);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    peer_server_hooks m_hooks;
};

} // namespace

struct peer_server::state {
    explicit state(peer_server_hooks hooks)
        : service(std::move(hooks))
    {
    }

    peer_service service;
    std::unique_ptr<grpc::Server> server;
};

peer_server::peer_server(std::string_view address, std::size_t maxMessageBytes, peer_server_hooks hooks)
    : m_state(std::make_unique<state>(std::move(hooks)))
{
    grpc::ServerBuilder builder;
    int boundPort = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(std::string(address), grpc::InsecureServerCredentials(), &boundPort);
    builder.SetMaxReceiveMessageSize(static_cast<int>(maxMessageBytes));
    builder.SetMaxSendMessageSize(static_cast<int>(maxMessageBytes));
    builder.RegisterService(&m_state->service);
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || boundPort == 0) {
        throw address_error("can't listen for peers on " + std::string(address));
    }
}

peer_server::~peer_server()
{
    stop(clock_ms{0});
}

void peer_server::stop(clock_ms grace)
{
    if (m_state->server) {
        m_state->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(grace.count));
        m_state->server->Wait();
        m_state->server.reset();
    }
}

} // namespace cicadamux
