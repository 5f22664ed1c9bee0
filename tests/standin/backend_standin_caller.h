/** @file backend_standin_caller.h The outgoing calls of the backend stand-in. */

#pragma once

#include "standin/backend_standin_type.h"
#include "support/http_client_base.h"

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::test
{

/** Called once when the call has ended; `ok` is true if it was answered with status 200 and the request's id. */
using call_handler = std::function<void(bool ok)>;

/** Makes calls through the daemon or, without one, directly to backend servers; retries each call up to a fixed number of times. */
class backend_caller
{
public:
    backend_caller(boost::asio::io_context &context, const backend_settings &settings, backend_counters &counters);

    /**
     * @param callContext The value of the header cicadamux-context, which is copied from the incoming request.
     * @param id The id of the outgoing request, which the answer must echo.
     */
    void call(const outgoing_call &target, const std::string &callContext, const std::string &id, call_handler handler);

private:
    struct pending_call;

    void attempt(const std::shared_ptr<pending_call> &pending);
    void onAttemptEnded(const std::shared_ptr<pending_call> &pending, const http_reply &reply);
    std::string addressOf(const std::string &service);

    const backend_settings &m_settings;
    backend_counters &m_counters;
    http_client m_client;
    std::size_t m_nextAddress = 0; ///< Round-robin counter for direct addresses.
};

} // namespace cicadamux::test
