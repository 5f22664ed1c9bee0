/** @file hash_func.h Hashes that are the same in every daemon (xxHash, 64 bits). */

#pragma once

#include <cstdint>
#include <string_view>

namespace cicadamux
{

/** Hashes bytes. The result doesn't depend on the machine or the process. */
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/** Hashes a number. The result doesn't depend on the machine or the process. */
std::uint64_t hashNumber(std::uint64_t number, std::uint64_t seed = 0);

} // namespace cicadamux
