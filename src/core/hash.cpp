/** @file hash.cpp 64-bit hashes (xxHash) that are equal in every process of the fleet. */

#include "core/hash_func.h"

#include <xxhash.h>

namespace cicadamux
{

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashNumber(std::uint64_t number, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(&number, sizeof number, seed);
}

} // namespace cicadamux
