/** @file mac_func.h Message authentication codes and random bytes, by OpenSSL. */

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadamux
{

constexpr std::size_t macBytes = 32; ///< Size of an HMAC-SHA256.

/** @return The HMAC-SHA256 of the data. @throws error if the library fails. */
std::string makeMac(std::string_view key, std::string_view data);

/** Compares two codes in a time that doesn't depend on their content. */
bool isSameMac(std::string_view left, std::string_view right);

/** @return Bytes that can't be predicted. @throws error if the library fails. */
std::string randomBytes(std::size_t count);

} // namespace cicadamux
