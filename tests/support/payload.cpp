/** @file payload.cpp Bodies of test requests and answers. */

#include "support/payload_func.h"

namespace cicadamux::test
{

std::string formatPayload(std::string_view id)
{
    return R"({"id":")" + std::string(id) + R"("})";
}

std::string payloadId(std::string_view body)
{
    constexpr std::string_view key = R"("id":")";
    const auto start = body.find(key);
    if (start == std::string_view::npos) {
        return {};
    }
    const auto rest = body.substr(start + key.size());
    return std::string(rest.substr(0, rest.find('"')));
}

} // namespace cicadamux::test
