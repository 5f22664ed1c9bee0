/** @file member_store_base.h The records of a view, by host and by data centre. */

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

/** One member as this daemon holds it. */
struct member_entry {
    member_record record;
    clock_ms changedAt; ///< When this daemon took the record in.
    clock_ms suspectedAt; ///< When the suspicion began; meaningful if `isSuspected`.
    clock_ms deadAt; ///< Meaningful if the state is dead.
    bool isSuspected = false; ///< Also for a leaving member, whose state stays leaving.
    std::uint32_t absences = 0; ///< Answers in a row, from its own data centre, that didn't name it.
    clock_ms absentAt; ///< Of the last one.
    std::uint64_t digestPart = 0; ///< Hash of host, incarnation and revision.
    std::uint32_t bucket = 0;
    std::size_t position = 0; ///< In the list of its data centre.
};

/** What became of a record that was offered. */
enum class merge_result : std::uint8_t {
    older, ///< What is held is greater.
    same,
    newer, ///< It replaces what was held.
    refused ///< An earlier life of the member, or the store is full.
};

/** @return Whether a member in this state can still be reached and may come back. */
constexpr bool isLive(member_state state)
{
    return state != member_state::dead;
}

/** Keeps for each host the greatest (incarnation, revision, state). */
class member_store
{
public:
    explicit member_store(std::size_t maxMembers);

    /** Takes in a record. */
    merge_result offer(const member_record &record, clock_ms now);

    member_entry *find(std::string_view host);
    const member_entry *find(std::string_view host) const;

    /** Forgets a member. */
    void erase(std::string_view host);

    /** @return The members of a data centre, in no order. */
    const std::vector<member_entry *> &of(std::string_view dataCenter) const;

    const std::map<std::string, std::vector<member_entry *>, std::less<>> &byDataCenter() const;

    std::size_t size() const;

    /** @return The number of live members of a data centre. */
    std::size_t liveCount(std::string_view dataCenter) const;

    /** Raised whenever who is alive changes. */
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
