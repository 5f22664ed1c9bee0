/** @file hash_func.h 64-bit hashes (xxHash) that are equal in every process of the fleet. */

#pragma once

#include <cstdint>
#include <string_view>

namespace cicadamux
{

/** Hashes a byte string. The result doesn't depend on the host or the process. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/** Hashes a number. The result doesn't depend on the host or the process. */
std::uint64_t hashNumber(std::uint64_t number, std::uint64_t seed = 0);

} // namespace cicadamux
