/** @file clock.cpp Reads the system's clocks. */

#include "core/clock_type.h"

#include <chrono>
#include <utility>

namespace cicadamux
{

clock_ms steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

namespace
{
clock_source &replacedWallClock()
{
    static clock_source source;
    return source;
}
} // namespace

void setWallClock(clock_source source)
{
    replacedWallClock() = std::move(source);
}

clock_ms wallNow()
{
    if (replacedWallClock()) {
        return replacedWallClock()();
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace cicadamux
