/** @file platform_connection_base.h One HTTP connection to the platform. */

#pragma once

#include "platform/platform_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::detail
{

/** A request to the platform, as text. */
struct platform_request {
    std::string method;
    std::string target;
    std::string ifVersion; ///< Value of the `if-version` header; empty: none.
    std::string body;
    clock_ms timeout; ///< For the whole call, connecting included.
    std::size_t maxAnswerBytes = 0; ///< Bound of the answer's body.
};

/** How a request ended: without a failure there is a whole HTTP answer. */
struct platform_answer {
    platform_failure failure = platform_failure::none;
    unsigned status = 0;
    std::string body;
    bool isReusable = false; ///< Whether the connection may take a further request.
};

using platform_answer_handler = std::function<void(platform_answer)>;

/** One call at a time. Thread-safe; its handlers run on its own strand. */
class platform_connection
{
public:
    virtual ~platform_connection() = default;

    /** Sends a request; connects first where needed. The handler is called once. */
    virtual void call(const platform_request &request, platform_answer_handler handler) = 0;

    /** Closes the connection; a pending call ends as `connection_lost`. */
    virtual void close() = 0;
};

/** @throws nothing; a malformed address makes every call end as `unreachable`. */
std::shared_ptr<platform_connection> makePlatformConnection(boost::asio::io_context &context, const std::string &address);

} // namespace cicadamux::detail
