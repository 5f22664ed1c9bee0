/** @file share_func.h Weighted max-min fair division of a capacity. */

#pragma once

#include <span>
#include <vector>

namespace cicadamux::detail
{

struct share_claim {
    double demand = 0; ///< Maximum that the claim can use.
    double weight = 1; ///< Relative share when the capacity is short; greater than 0.
};

/**
 * Divides a capacity by weighted max-min fairness: no claim gets more than its demand, and the unused rest of its share
 * is divided among the others by weight (progressive filling, Bertsekas and Gallager, Data Networks, 6.5.2).
 * @return The allocation of each claim, in the order of the claims.
 */
std::vector<double> divideCapacity(double capacity, std::span<const share_claim> claims);

} // namespace cicadamux::detail
