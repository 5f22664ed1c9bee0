/** @file line_output.cpp Non-blocking output of log lines to a file descriptor. */

#include "core/line_output_base.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxPendingBytes = 65'536; ///< Lines beyond this are dropped until the reader catches up.
} // namespace

line_output::line_output(int descriptor)
    : m_descriptor(descriptor)
{
}

void line_output::flush()
{
    const std::lock_guard lock(m_mutex);
    while (!m_pending.empty()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that polls writable accepts up to PIPE_BUF bytes without blocking.
        const ssize_t written = ::write(m_descriptor, m_pending.data(), std::min<std::size_t>(m_pending.size(), PIPE_BUF));
        if (written <= 0) {
            return;
        }
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t line_output::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::streamsize line_output::xsputn(const char *text, std::streamsize size)
{
    append(text, static_cast<std::size_t>(size));
    return size;
}

line_output::int_type line_output::overflow(int_type character)
{
    if (!traits_type::eq_int_type(character, traits_type::eof())) {
        const char single = traits_type::to_char_type(character);
        append(&single, 1);
    }
    return traits_type::not_eof(character);
}

void line_output::append(const char *text, std::size_t size)
{
    const std::lock_guard lock(m_mutex);
    m_partialLine.append(text, size);
    if (!m_partialLine.ends_with('\n')) {
        return;
    }
    if (m_pending.size() + m_partialLine.size() > maxPendingBytes) {
        ++m_dropped;
    } else {
        m_pending += m_partialLine;
    }
    m_partialLine.clear();
}

} // namespace cicadamux::detail
