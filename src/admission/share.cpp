/** @file share.cpp Weighted max-min fair division of a capacity. */

#include "admission/share_func.h"

#include <algorithm>
#include <numeric>

namespace cicadamux::detail
{

std::vector<double> divideCapacity(double capacity, std::span<const share_claim> claims)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, {}, [&](std::size_t index) {
        return claims[index].demand / claims[index].weight;
    });
    double weightLeft = 0;
    for (const share_claim &claim : claims) {
        weightLeft += claim.weight;
    }
    std::vector<double> allocated(claims.size());
    for (const std::size_t index : order) {
        const double fair = capacity * claims[index].weight / std::max(weightLeft, claims[index].weight);
        allocated[index] = std::min(claims[index].demand, fair);
        capacity = std::max(0.0, capacity - allocated[index]);
        weightLeft -= claims[index].weight;
    }
    return allocated;
}

} // namespace cicadamux::detail
