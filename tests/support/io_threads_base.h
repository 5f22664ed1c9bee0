/** @file io_threads_base.h An io_context that runs on two threads for the duration of a test. */

#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace cicadamux::test
{

class io_threads
{
public:
    io_threads()
        : m_work(boost::asio::make_work_guard(context))
        , m_first([this] {
            context.run();
        })
        , m_second([this] {
            context.run();
        })
    {
    }

    ~io_threads()
    {
        context.stop();
        m_first.join();
        m_second.join();
    }

    io_threads(const io_threads &) = delete;
    io_threads &operator=(const io_threads &) = delete;

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_first;
    std::thread m_second;
};

} // namespace cicadamux::test
