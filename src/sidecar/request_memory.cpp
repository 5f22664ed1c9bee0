/** @file request_memory.cpp A sidecar's bounded memory of the requests that it didn't answer well, for operators. */

#include "sidecar/request_memory_base.h"

#include <algorithm>
#include <iterator>

namespace cicadamux
{

request_memory::request_memory(std::size_t capacity)
    : m_capacity(capacity)
{
}

void request_memory::note(remembered_request request)
{
    if (m_requests.size() >= m_capacity) {
        m_forgottenUntil = m_requests.front().at;
        m_requests.pop_front();
    }
    m_requests.push_back(std::move(request));
}

std::vector<remembered_request> request_memory::find(std::string_view requestId) const
{
    std::vector<remembered_request> found;
    std::ranges::copy_if(m_requests, std::back_inserter(found), [requestId](const remembered_request &known) {
        return known.requestId == requestId;
    });
    return found;
}

clock_ms request_memory::since() const
{
    return m_forgottenUntil;
}

} // namespace cicadamux
