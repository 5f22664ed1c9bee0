/** @file request_history.cpp Bounded history of failed and refused requests, for operator queries. */

#include "sidecar/request_history_base.h"

#include <algorithm>
#include <iterator>

namespace cicadamux
{

request_history::request_history(std::size_t capacity)
    : m_capacity(capacity)
{
}

void request_history::add(request_record record)
{
    if (m_records.size() >= m_capacity) {
        m_completeSince = m_records.front().at;
        m_records.pop_front();
    }
    m_records.push_back(std::move(record));
}

std::vector<request_record> request_history::find(std::string_view requestId) const
{
    std::vector<request_record> found;
    std::ranges::copy_if(m_records, std::back_inserter(found), [requestId](const request_record &record) {
        return record.requestId == requestId;
    });
    return found;
}

clock_ms request_history::completeSince() const
{
    return m_completeSince;
}

} // namespace cicadamux
