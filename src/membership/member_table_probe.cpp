/** @file member_table_probe.cpp Membership table: probes, suspicion and declaring members dead. */

#include "core/log_func.h"
#include "membership/member_table_state.h"

#include <algorithm>
#include <cmath>

namespace cicadamux
{

using namespace detail;

namespace
{
clock_ms times(clock_ms span, std::uint32_t factor)
{
    return {span.count * factor};
}
} // namespace

void member_table::state::tickProbe()
{
    if (currentProbe) {
        const clock_ms waited = now - currentProbe->sentAt;
        if (!currentProbe->indirectSent && waited >= times(settings.probeTimeout, healthPenalty + 1)) {
            sendIndirectProbes();
        }
        if (waited >= times(settings.probePeriod, healthPenalty + 1)) {
            probeFailed();
        }
    }
    if (now < nextProbe) {
        return;
    }
    nextProbe = now + settings.probePeriod;
    updateBudget = std::min(updateBudget + updateBytesPerPeriod, maxUpdateBudget);
    std::erase_if(relayedProbes, [this](const auto &item) {
        return item.second.expires < now;
    });
    if (!currentProbe) {
        startProbe();
    }
}

void member_table::state::shuffleProbeOrder()
{
    probeOrder.clear();
    probeNext = 0;
    for (const member_entry *entry : store.membersOf(dataCenter)) {
        if (entry->record.host != selfHost && isLive(entry->record.state)) {
            probeOrder.push_back(entry->record.host);
        }
    }
    for (std::size_t rest = probeOrder.size(); rest > 1; --rest) {
        std::swap(probeOrder[rest - 1], probeOrder[randomBelow(rest)]);
    }
}

void member_table::state::startProbe()
{
    if (probeNext >= probeOrder.size()) {
        shuffleProbeOrder();
    }
    while (probeNext < probeOrder.size()) {
        const member_entry *target = store.find(probeOrder[probeNext++]);
        if (target == nullptr || !isLive(target->record.state)) {
            continue;
        }
        currentProbe = probe{target->record.host, target->record.peerAddress, nextSequence++, now, false};
        ping(currentProbe->address, currentProbe->sequence, currentProbe->host);
        return;
    }
}

void member_table::state::sendIndirectProbes()
{
    currentProbe->indirectSent = true;
    for (const std::string &address : randomPeers(dataCenter, settings.indirectProbes, currentProbe->host)) {
        wire::Gossip message;
        message.set_kind(wire::Gossip::INDIRECT_PING);
        message.set_sequence(currentProbe->sequence);
        message.set_target_address(currentProbe->address);
        sendGossip(address, message);
    }
}

void member_table::state::probeFailed()
{
    healthPenalty = std::min(healthPenalty + 1, maxHealthPenalty);
    member_entry *entry = store.find(currentProbe->host);
    currentProbe.reset();
    if (entry != nullptr && isLive(entry->record.state) && !entry->isSuspected) {
        suspect(*entry);
    }
}

void member_table::state::suspect(member_entry &entry)
{
    ++counters.suspicions;
    logEvent(log_level::debug, "member_suspect", {{"member", entry.record.host}});
    if (entry.record.state == member_state::alive) {
        member_record record = currentRecord(entry);
        record.state = member_state::suspect;
        mergeRecord(record);
        return;
    }
    entry.isSuspected = true; // The state stays `leaving` until the member is dead.
    entry.suspectedAt = now;
    timedMembers.insert(entry.record.host);
}

bool member_table::state::seemsIsolated() const
{
    std::size_t suspects = 0;
    std::size_t others = 0;
    for (const member_entry *entry : store.membersOf(dataCenter)) {
        if (entry->record.host != selfHost && isLive(entry->record.state)) {
            ++others;
            suspects += entry->isSuspected ? 1 : 0;
        }
    }
    return suspects * 2 > others;
}

bool member_table::state::isSuspicionExpired(const member_entry &entry) const
{
    const double size = std::max<double>(10, static_cast<double>(store.liveCount(dataCenter)));
    const clock_ms span{static_cast<std::int64_t>(static_cast<double>(settings.suspicionTime.count) * std::log10(size))};
    const clock_ms waited = now - entry.suspectedAt;
    if (waited < span) {
        return false;
    }
    const std::uint32_t penalty = seemsIsolated() ? isolationPenalty : std::min(healthPenalty, isolationPenalty);
    return waited >= times(span, penalty + 1);
}

void member_table::state::tickExpiry()
{
    std::vector<std::string> newlyDead;
    std::vector<std::string> expiredHosts;
    for (const std::string &host : timedMembers) {
        const member_entry &entry = *store.find(host);
        if (entry.record.state == member_state::dead) {
            if (now - entry.deadAt >= deadRetention) {
                expiredHosts.push_back(host);
            }
        } else if (isSuspicionExpired(entry)) {
            newlyDead.push_back(host);
        }
    }
    for (const std::string &host : expiredHosts) {
        timedMembers.erase(host);
        store.erase(host);
    }
    for (const std::string &host : newlyDead) {
        declareDead(host);
    }
    std::erase_if(relayedUntil, [this](const auto &item) {
        if (item.second > now) {
            return false;
        }
        relayedRecords.erase(item.first);
        return true;
    });
}

void member_table::state::declareDead(const std::string &host)
{
    member_record record = store.find(host)->record;
    logEvent(log_level::info, "member_dead", {{"member", host}, {"incarnation", record.incarnation.value}});
    record.state = member_state::dead;
    ++counters.declaredDead;
    mergeRecord(record);
}

} // namespace cicadamux
