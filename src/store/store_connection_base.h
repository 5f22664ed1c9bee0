/** @file store_connection_base.h HTTP connection to the platform. */

#pragma once

#include "store/store_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::detail
{

/** HTTP request to the platform. */
struct store_request {
    std::string method;
    std::string target;
    std::string ifVersion; ///< Value of the `if-version` header; empty: no such header.
    std::string body; ///< JSON, or empty.
    clock_ms timeout; ///< For the whole call, including the time to connect.
    std::size_t maxAnswerBytes = 0; ///< Greatest body of the answer.
    std::string eraHeader; ///< Name of the answer's header with the store's era; empty if it has none.
};

/** Result of a request; a complete HTTP answer unless there is a failure. */
struct store_answer {
    store_failure failure = store_failure::none;
    unsigned status = 0;
    std::string body;
    std::string era; ///< Value of the era's header; empty without one.
    bool isReusable = false; ///< Whether the connection can be used for another request.
};

using store_answer_handler = std::function<void(store_answer)>;

/** Carries one call at a time. Thread-safe; handlers run on the connection's strand. */
class store_connection
{
public:
    virtual ~store_connection() = default;

    /** Sends a request, connecting first if necessary. The handler is called exactly once. */
    virtual void call(const store_request &request, store_answer_handler handler) = 0;

    /** Closes the connection; a pending call ends as `connection_lost`. */
    virtual void close() = 0;
};

/** Never throws; with a malformed address every call ends as `unreachable`. */
std::shared_ptr<store_connection> makeStoreConnection(boost::asio::io_context &context, const std::string &address);

} // namespace cicadamux::detail
