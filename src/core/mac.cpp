/** @file mac.cpp Message authentication codes and random bytes, by OpenSSL. */

#include "core/mac_func.h"

#include "core/error_type.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace cicadamux
{

std::string makeMac(std::string_view key, std::string_view data)
{
    std::string mac(macBytes, '\0');
    unsigned length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(data.data());
    auto *result = reinterpret_cast<unsigned char *>(mac.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, data.size(), result, &length) == nullptr || length != macBytes) {
        throw error("HMAC-SHA256 failed");
    }
    return mac;
}

bool isSameMac(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1) {
        throw error("no random bytes");
    }
    return bytes;
}

} // namespace cicadamux
