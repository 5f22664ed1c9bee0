/** @file policy_type.h Policy objects that operators write: ranks, operations and the services that these call. */

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

constexpr std::string_view rankTableKind = "rank_table"; ///< Kind of the object that contains the ranks.
constexpr std::string_view rankTableName = "default"; ///< Name of the only object of that kind.
constexpr std::string_view servicePolicyKind = "service_policy"; ///< Kind of the objects that contain operations.

constexpr std::size_t maxRanks = 32; ///< Maximum number of ranks in a rank table.
constexpr std::size_t maxOperations = 256; ///< Maximum number of operations of a service.
constexpr std::size_t maxPassesThrough = 64; ///< Maximum number of services in `passes_through`.
constexpr std::uint32_t maxRetryAllowance = 16; ///< Maximum number of extra attempts of a root.
constexpr std::int64_t maxDeadline = 600'000; ///< Milliseconds; also the maximum late limit.
constexpr std::int64_t defaultLateLimit = 60'000; ///< Milliseconds.
constexpr std::size_t maxNameLength = 63; ///< Maximum characters of a service, operation, class or rank name.

/** One rank; its position in the table is its rank_id. */
struct rank_rule {
    std::string name;
    bool isProtected = false; ///< Refused only when all work of lower ranks is refused.
    double effort = 1.0; ///< Weight of the rank in sharing the capacity that the protected ranks leave.

    bool operator==(const rank_rule &) const = default;
};

/** One operation of a service. */
struct operation_rule {
    std::string name;
    std::string callClass; ///< Operations of one class share a fair part of the capacity of their rank.
    std::string rankName;
    std::vector<std::string> passesThrough; ///< Services that a request of this operation calls, directly or indirectly.
    clock_ms deadline; ///< Default if the caller states none.
    bool lateOk = false; ///< `deadline_kind` is `late-ok`.
    clock_ms lateLimit{defaultLateLimit}; ///< Time after which a late-ok call is abandoned too.
    std::uint32_t retries = 0; ///< Extra attempts for a whole root.
    bool atMostOnce = false;

    bool operator==(const operation_rule &) const = default;
};

/** The content of the `rank_table` object. */
struct rank_table {
    std::uint64_t generation = 0;
    std::string operationId; ///< Identifies the write that created this generation.
    std::vector<rank_rule> ranks; ///< Most urgent first.

    bool operator==(const rank_table &) const = default;
};

/** The content of a `service_policy` object. */
struct service_policy {
    std::uint64_t generation = 0;
    std::string operationId; ///< Identifies the write that created this generation.
    std::string service;
    std::vector<operation_rule> operations;

    bool operator==(const service_policy &) const = default;
};

/** A fault of a policy. */
struct policy_fault {
    std::string path; ///< Path of the value, such as `operations[1].retries`.
    std::string problem; ///< Problem, such as `out of range`.
    std::string allowed; ///< Valid values, such as `0 to 16`.
};

/** A policy object is invalid; contains all its faults. */
class policy_error : public error
{
public:
    explicit policy_error(std::vector<policy_fault> found);

    /** @return All faults, in the order in which they were found. */
    const std::vector<policy_fault> &faults() const;

private:
    std::vector<policy_fault> m_faults;
};

} // namespace cicadamux
