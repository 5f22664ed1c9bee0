/** @file payload_func.h Bodies of test requests and answers. An answer echoes the id of its request. */

#pragma once

#include <string>
#include <string_view>

namespace cicadamux::test
{

/** @return A request's body, `{"id":"..."}`. The id must not contain quotes or backslashes. */
std::string formatPayload(std::string_view id);

/** @return The id in the body of a request or answer; empty if there is none. */
std::string payloadId(std::string_view body);

} // namespace cicadamux::test
