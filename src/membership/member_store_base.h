/** @file member_store_base.h Member records, indexed by host and by data centre. */

#pragma once

#include "membership/member_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadamux::detail
{

/** A stored record with local bookkeeping. */
struct member_entry {
    member_record record;
    clock_ms changedAt; ///< Local time at which the current record was stored.
    clock_ms suspectedAt; ///< Start of the suspicion; valid if `isSuspected`.
    clock_ms deadAt; ///< Local time at which the record became dead; valid if the state is dead.
    bool isSuspected = false; ///< May also be set for a leaving member, whose state stays `leaving`.
    std::uint32_t absences = 0; ///< Consecutive answers from the member's data centre that omitted it.
    clock_ms lastAbsentAt; ///< Time of the last such answer.
    std::uint64_t recordHash = 0; ///< Hash of host, incarnation and revision; contribution to the digest of a set of members.
    std::uint32_t bucket = 0; ///< Hash of the host modulo memberBuckets.
    std::size_t position = 0; ///< Index in the list of its data centre.
};

/** Outcome of merging a record into the store. */
enum class merge_result : std::uint8_t {
    older, ///< The stored record is newer.
    same,
    newer, ///< Stored, as a new member or in place of an older record.
    refused ///< From an earlier incarnation of the member, or the store is full.
};

/** @return Whether the state is anything but dead. */
constexpr bool isLive(member_state state)
{
    return state != member_state::dead;
}

/** Stores, for each host, the record with the greatest (incarnation, revision, state). */
class member_store
{
public:
    explicit member_store(std::size_t maxMembers);

    /** Stores the record if it is newer than the stored one of the same host. */
    merge_result merge(const member_record &record, clock_ms now);

    member_entry *find(std::string_view host);
    const member_entry *find(std::string_view host) const;

    void erase(std::string_view host);

    /** @return The members of a data centre, in unspecified order. */
    const std::vector<member_entry *> &membersOf(std::string_view dataCenter) const;

    const std::map<std::string, std::vector<member_entry *>, std::less<>> &byDataCenter() const;

    std::size_t size() const;

    /** @return The number of live members of a data centre. */
    std::size_t liveCount(std::string_view dataCenter) const;

    /** @return A version that changes whenever a member is added, removed, moved to another data centre, or changes state. */
    std::uint64_t liveVersion() const;

private:
    void insert(const member_record &record, clock_ms now);
    void replace(member_entry &entry, const member_record &record, clock_ms now);
    void link(member_entry &entry);
    void unlink(member_entry &entry);
    void countLive(const member_record &record, int difference);

    std::size_t m_maxMembers;
    std::uint64_t m_liveVersion = 1;
    std::unordered_map<std::string, member_entry> m_entries;
    std::map<std::string, std::vector<member_entry *>, std::less<>> m_dataCenters;
    std::map<std::string, std::size_t, std::less<>> m_liveCounts;
};

} // namespace cicadamux::detail
