/** @file http_fields.cpp Conversion from Beast types to those of the program. */

#include "http/http_fields_func.h"

#include <boost/beast/http/field.hpp>

namespace cicadamux::detail
{

namespace http = boost::beast::http;

std::vector<http_field> copyHeaders(const http::fields &fields)
{
    std::vector<http_field> headers;
    for (const auto &field : fields) {
        if (field.name() == http::field::content_length || field.name() == http::field::transfer_encoding) {
            continue;
        }
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

} // namespace cicadamux::detail
