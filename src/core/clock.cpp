/** @file clock.cpp Reads the system's clocks. */

#include "core/clock_type.h"

#include <chrono>

namespace cicadamux
{

clock_ms steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

clock_ms wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace cicadamux
