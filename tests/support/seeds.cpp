/** @file seeds.cpp Number of seeds of randomised tests. */

#include "support/seeds_func.h"

#include <cstdlib>

namespace cicadamux::test
{

std::uint64_t seedCount(std::uint64_t usual)
{
    const char *factor = std::getenv("CICADAMUX_SEED_FACTOR"); // NOLINT(concurrency-mt-unsafe)
    if (factor == nullptr) {
        return usual;
    }
    constexpr int decimal = 10;
    return usual * std::strtoull(factor, nullptr, decimal);
}

} // namespace cicadamux::test
