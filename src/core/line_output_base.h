/** @file line_output_base.h Non-blocking output of log lines to a file descriptor. */

#pragma once

#include <cstdint>
#include <mutex>
#include <streambuf>
#include <string>

namespace cicadamux::detail
{

/** Buffers lines and writes them in flush() without blocking on a slow reader. Lines that don't fit in the buffer are dropped and counted. Thread-safe. */
class line_output : public std::streambuf
{
public:
    explicit line_output(int descriptor);

    /** Writes as much as the descriptor accepts without blocking. */
    void flush();

    /** @return Number of lines dropped so far. */
    std::uint64_t dropped() const;

protected:
    std::streamsize xsputn(const char *text, std::streamsize size) override;
    int_type overflow(int_type character) override;

private:
    void append(const char *text, std::size_t size);

    int m_descriptor;
    mutable std::mutex m_mutex; ///< Guards the members below.
    std::string m_pending; ///< Complete lines to be written.
    std::string m_partialLine; ///< The line that lacks its line feed.
    std::uint64_t m_dropped = 0;
};

} // namespace cicadamux::detail
