/** @file sub_level.cpp Sub-levels of a rank. */

#include "admission/gate_type.h"
#include "core/hash_func.h"

namespace cicadamux
{

namespace
{
constexpr std::uint64_t subLevelSeed = 0x5b1e7e15; ///< Makes sub-levels independent of other hashes of a root.
}

std::uint16_t subLevelOf(root_id root)
{
    return static_cast<std::uint16_t>(hashNumber(root.value, subLevelSeed) % subLevelCount);
}

} // namespace cicadamux
