/** @file backend_standin_caller.h The calls that a backend server makes itself. */

#pragma once

#include "standin/backend_standin_type.h"
#include "support/http_client_base.h"

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::test
{

/** Called with whether the call was answered with status 200. */
using call_handler = std::function<void(bool ok)>;

/** Makes calls through the daemon or, without one, directly; retries each a fixed number of times. */
class backend_caller
{
public:
    backend_caller(boost::asio::io_context &context, const backend_settings &settings, backend_counters &counters);

    /**
     * @param callContext Value of cicadamux-context to copy.
     * @param id The request's id; the answer has to echo it.
     */
    void call(const next_call &target, const std::string &callContext, const std::string &id, call_handler handler);

private:
    struct pending_call;

    void attempt(const std::shared_ptr<pending_call> &pending);
    void ended(const std::shared_ptr<pending_call> &pending, const http_reply &reply);
    std::string addressOf(const std::string &service);

    const backend_settings &m_settings;
    backend_counters &m_counters;
    http_client m_client;
    std::size_t m_nextAddress = 0; ///< Round robin over direct addresses.
};

} // namespace cicadamux::test
