/** @file standin.cpp Functions that the stand-ins' programs share. */

#include "support/standin_func.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace cicadamux::test
{

void printReady(const std::string &address)
{
    std::cout << "ready address=" << address << std::endl; // NOLINT(performance-avoid-endl)
}

void onStopSignal(boost::asio::io_context &context, std::function<void()> stop)
{
    auto signals = std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait([signals, stop = std::move(stop)](boost::system::error_code failure, int) {
        if (!failure) {
            stop();
        }
    });
}

} // namespace cicadamux::test
