/** @file share_func.h Divides a capacity among claims. */

#pragma once

#include <span>
#include <vector>

namespace cicadamux::detail
{

/** One claim on a capacity. */
struct share_claim {
    double demand = 0; ///< What it can use at most.
    double weight = 1; ///< Its part of a shortage, in proportion to the others'. Positive.
};

/**
 * Divides a capacity by weighted max-min fairness: no claim gets more than its demand, and what one leaves is
 * divided among the others by weight (progressive filling, Bertsekas and Gallager, Data Networks, 6.5.2).
 * @return What each claim gets, in the order of the claims.
 */
std::vector<double> divideCapacity(double capacity, std::span<const share_claim> claims);

} // namespace cicadamux::detail
