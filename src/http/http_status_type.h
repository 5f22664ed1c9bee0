/** @file http_status_type.h HTTP status codes that the program sends or evaluates. */

#pragma once

namespace cicadamux::http_status
{

constexpr unsigned first = 100; ///< HTTP has no lower status.
constexpr unsigned firstFinal = 200; ///< Lower statuses announce another response.
constexpr unsigned last = 599; ///< HTTP has no higher status.

constexpr unsigned ok = 200;
constexpr unsigned created = 201;
constexpr unsigned noContent = 204;
constexpr unsigned firstRedirect = 300; ///< Statuses from `ok` up to, but not including, this one mean success.
constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;
constexpr unsigned requestTimeout = 408;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned contentTooLarge = 413;
constexpr unsigned misdirected = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned headerTooLarge = 431;
constexpr unsigned firstServerError = 500;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

} // namespace cicadamux::http_status
