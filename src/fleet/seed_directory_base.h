/** @file seed_directory_base.h Schedules reads and writes of the `seed_list` objects in the platform. */

#pragma once

#include "core/clock_type.h"
#include "core/random_func.h"
#include "store/store_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

constexpr std::string_view seedListKind = "seed_list"; ///< Kind of the objects, which are named after their data centre.

/**
 * Parses the value of a seed_list object, `{"addresses":["IP:port"]}`.
 * @return At most 64 addresses; nothing if the value is malformed.
 */
std::optional<std::vector<std::string>> parseSeedList(std::string_view json);

/** @return The addresses in the format that parseSeedList() reads. */
std::string formatSeedList(std::span<const std::string> addresses);

/** A write of the seed_list object of this data centre. */
struct seed_write {
    std::string value;
    std::uint64_t ifVersion = 0;
};

/**
 * Decides when the seed_list objects are read and written; the owner makes the calls. Not thread-safe.
 * A daemon that knows no peer reads them to find one; duty holders read them once a minute and rewrite that of their data centre if it is outdated.
 */
class seed_directory
{
public:
    seed_directory(std::string dataCenter, random_source random);

    /**
     * Whether to list the objects now; the call then counts as in progress until finished() is called.
     * @param isAlone Whether this daemon knows no live peer in its data centre.
     * @param holdsDuty Whether this daemon holds the duty `seeds`.
     */
    bool isListDue(bool isAlone, bool holdsDuty, clock_ms now);

    /**
     * Processes the result of the list.
     * @return The seed addresses of all data centres.
     */
    std::vector<std::string> finished(const store_result<store_changes> &result, clock_ms now);

    /**
     * Decides after a list whether the object of this data centre has to be rewritten.
     * That is the case if its live addresses are fewer than half of those it should have, or of those it has.
     * @param alive Peer addresses of the live members of this data centre.
     */
    std::optional<seed_write> writeAfterList(std::span<const std::string> alive) const;

private:
    clock_ms jittered(clock_ms span) const;

    std::string m_dataCenter;
    random_source m_random;
    bool m_isListPending = false;
    bool m_isStarted = false;
    std::uint32_t m_readsWhileAlone = 0; ///< Reads since this daemon last knew a peer.
    clock_ms m_nextReadAlone;
    clock_ms m_nextDutyRead;
    std::vector<std::string> m_storedAddresses; ///< Addresses in the object of this data centre, as last read.
    std::uint64_t m_version = 0; ///< Version of that object.
};

} // namespace cicadamux::detail
