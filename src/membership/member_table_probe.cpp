/** @file member_table_probe.cpp A daemon's view of the fleet: probes, suspicion and death. */

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
    if (probing) {
        const clock_ms waited = now - probing->sentAt;
        if (!probing->askedOthers && waited >= times(settings.probeTimeout, healthPenalty + 1)) {
            askOthers();
        }
        if (waited >= times(settings.probePeriod, healthPenalty + 1)) {
            probeFailed();
        }
    }
    if (now < nextProbe) {
        return;
    }
    nextProbe = now + settings.probePeriod;
    newsBytes = std::min(newsBytes + newsBytesPerPeriod, newsBytesSaved);
    std::erase_if(relayed, [this](const auto &item) {
        return item.second.expires < now;
    });
    if (!probing) {
        startProbe();
    }
}

void member_table::state::refillProbes()
{
    probeOrder.clear();
    probeNext = 0;
    for (const member_entry *entry : store.of(dataCenter)) {
        if (entry->record.host != selfHost && isLive(entry->record.state)) {
            probeOrder.push_back(entry->record.host);
        }
    }
    for (std::size_t rest = probeOrder.size(); rest > 1; --rest) {
        std::swap(probeOrder[rest - 1], probeOrder[below(rest)]);
    }
}

void member_table::state::startProbe()
{
    if (probeNext >= probeOrder.size()) {
        refillProbes();
    }
    while (probeNext < probeOrder.size()) {
        const member_entry *target = store.find(probeOrder[probeNext++]);
        if (target == nullptr || !isLive(target->record.state)) {
            continue;
        }
        probing = probe{target->record.host, target->record.peerAddress, nextSequence++, now, false};
        ping(probing->address, probing->sequence, probing->host);
        return;
    }
}

void member_table::state::askOthers()
{
    probing->askedOthers = true;
    for (const std::string &address : randomPeers(dataCenter, settings.indirectProbes, probing->host)) {
        wire::Gossip message;
        message.set_kind(wire::Gossip::INDIRECT_PING);
        message.set_sequence(probing->sequence);
        message.set_target_address(probing->address);
        sendGossip(address, message);
    }
}

void member_table::state::probeFailed()
{
    healthPenalty = std::min(healthPenalty + 1, maxHealthPenalty);
    member_entry *entry = store.find(probing->host);
    probing.reset();
    if (entry != nullptr && isLive(entry->record.state) && !entry->isSuspected) {
        suspect(*entry);
    }
}

void member_table::state::suspect(member_entry &entry)
{
    ++counters.suspicions;
    logEvent(log_level::debug, "member_suspect", {{"member", entry.record.host}});
    if (entry.record.state == member_state::alive) {
        member_record record = aged(entry);
        record.state = member_state::suspect;
        take(record);
        return;
    }
    entry.isSuspected = true; // A leaving member stays leaving until it is gone.
    entry.suspectedAt = now;
    timed.insert(entry.record.host);
}

bool member_table::state::seemsCutOff() const
{
    std::size_t suspects = 0;
    std::size_t others = 0;
    for (const member_entry *entry : store.of(dataCenter)) {
        if (entry->record.host != selfHost && isLive(entry->record.state)) {
            ++others;
            suspects += entry->isSuspected ? 1 : 0;
        }
    }
    return suspects * 2 > others;
}

bool member_table::state::isSuspicionOver(const member_entry &entry) const
{
    const double size = std::max<double>(10, static_cast<double>(store.liveCount(dataCenter)));
    const clock_ms span{static_cast<std::int64_t>(static_cast<double>(settings.suspicionTime.count) * std::log10(size))};
    const clock_ms waited = now - entry.suspectedAt;
    if (waited < span) {
        return false;
    }
    const std::uint32_t penalty = seemsCutOff() ? cutPenalty : std::min(healthPenalty, cutPenalty);
    return waited >= times(span, penalty + 1);
}

void member_table::state::tickTimed()
{
    std::vector<std::string> over;
    std::vector<std::string> forgotten;
    for (const std::string &host : timed) {
        const member_entry &entry = *store.find(host);
        if (entry.record.state == member_state::dead) {
            if (now - entry.deadAt >= deadMemory) {
                forgotten.push_back(host);
            }
        } else if (isSuspicionOver(entry)) {
            over.push_back(host);
        }
    }
    for (const std::string &host : forgotten) {
        timed.erase(host);
        store.erase(host);
    }
    for (const std::string &host : over) {
        declareDead(host);
    }
    std::erase_if(passingUntil, [this](const auto &item) {
        if (item.second > now) {
            return false;
        }
        passing.erase(item.first);
        return true;
    });
}

void member_table::state::declareDead(const std::string &host)
{
    member_record record = store.find(host)->record;
    logEvent(log_level::info, "member_dead", {{"member", host}, {"incarnation", record.incarnation.value}});
    record.state = member_state::dead;
    ++counters.declaredDead;
    take(record);
}

} // namespace cicadamux
