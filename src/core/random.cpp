/** @file random.cpp Random number generators. */

#include "core/random_func.h"

#include <random>

namespace cicadamux
{

std::uint64_t secureRandom()
{
    thread_local std::random_device device;
    constexpr unsigned halfBits = 32;
    return (static_cast<std::uint64_t>(device()) << halfBits) | device();
}

std::uint64_t threadRandom()
{
    thread_local std::mt19937_64 engine(secureRandom());
    return engine();
}

} // namespace cicadamux
