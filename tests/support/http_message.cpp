/** @file http_message.cpp Header lookup and failure names for HTTP messages. */

#include "support/http_message_type.h"

#include <boost/beast/core/string.hpp>

namespace cicadamux::test
{

std::string_view headerOf(const http_message &message, std::string_view name)
{
    for (const http_field &field : message.headers) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::string_view toString(http_failure failure)
{
    switch (failure) {
    case http_failure::none:
        return "none";
    case http_failure::connect_failed:
        return "connect_failed";
    case http_failure::connection_lost:
        return "connection_lost";
    case http_failure::timeout:
        return "timeout";
    case http_failure::bad_answer:
        return "bad_answer";
    }
    return "unnamed";
}

} // namespace cicadamux::test
