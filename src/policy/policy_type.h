/** @file policy_type.h What operators state: ranks, operations and the services that they pass through. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

constexpr std::string_view rankTableKind = "rank_table"; ///< Kind of the object that holds the ranks.
constexpr std::string_view rankTableName = "default"; ///< Name of the only object of that kind.
constexpr std::string_view servicePolicyKind = "service_policy"; ///< Kind of the objects that hold operations.

constexpr std::size_t maxRanks = 32; ///< Ranks in a rank table.
constexpr std::size_t maxOperations = 256; ///< Operations of one service.
constexpr std::size_t maxPassesThrough = 64; ///< Services that one operation may name.
constexpr std::uint32_t maxRetryAllowance = 16; ///< Extra attempts of one root.
constexpr std::int64_t maxDeadline = 600'000; ///< Milliseconds.
constexpr std::int64_t defaultLateLimit = 60'000; ///< Milliseconds.
constexpr std::size_t maxNameLength = 63; ///< Characters of a service, operation, class or rank name.

/** One rank of work; its position in the table is its rank_id. */
struct rank_rule {
    std::string name;
    bool isProtected = false; ///< Refused only when all lesser work is.
    double effort = 1.0; ///< Share of what the protected ranks leave, in proportion to the others'.

    bool operator==(const rank_rule &) const = default;
};

/** One operation of a service. */
struct operation_rule {
    std::string name;
    std::string callClass; ///< Operations of one class share a fair part of their rank.
    std::string rankName;
    std::vector<std::string> passesThrough; ///< Services that a request of this operation calls, at any depth.
    clock_ms deadline; ///< Used where the caller states none.
    bool lateOk = false; ///< `deadline_kind` is `late-ok`.
    clock_ms lateLimit{defaultLateLimit}; ///< When even a late-ok call is given up.
    std::uint32_t retries = 0; ///< Extra attempts for the whole root.
    bool atMostOnce = false;

    bool operator==(const operation_rule &) const = default;
};

/** The contents of the `rank_table` object. */
struct rank_table {
    std::uint64_t generation = 0;
    std::string operationId; ///< Names the write that made this generation.
    std::vector<rank_rule> ranks; ///< The most urgent first.

    bool operator==(const rank_table &) const = default;
};

/** The contents of one `service_policy` object. */
struct service_policy {
    std::uint64_t generation = 0;
    std::string operationId; ///< Names the write that made this generation.
    std::string service;
    std::vector<operation_rule> operations;

    bool operator==(const service_policy &) const = default;
};

/** One thing that is wrong with a policy. */
struct policy_fault {
    std::string path; ///< Where, such as `operations[1].retries`.
    std::string problem; ///< What is wrong, such as `out of range`.
    std::string allowed; ///< What would be right, such as `0 to 16`.
};

/** A policy object can't be used; holds all its faults. */
class policy_error : public error
{
public:
    explicit policy_error(std::vector<policy_fault> found);

    /** @return All faults, in the order of the document. */
    const std::vector<policy_fault> &faults() const;

private:
    std::vector<policy_fault> m_faults;
};

} // namespace cicadamux
