/** @file store_http_func.h HTTP client of the platform's object store. */

#pragma once

#include "store/store_type.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace cicadamux
{

struct store_http_settings {
    std::string address; ///< `IP:port`.
    clock_ms timeout{1'000}; ///< For each call; for a watch its wait is added.
    std::uint32_t callsPerMinute = 60; ///< Call budget; a watch counts as one call, however long it waits.
};

/**
 * Creates a client that runs on the context's threads; handlers may be called on any of them.
 * Destroying the client closes its connections; the handlers of pending calls are then not called.
 */
std::unique_ptr<object_store> makeStoreHttpClient(boost::asio::io_context &context, store_http_settings settings);

} // namespace cicadamux
