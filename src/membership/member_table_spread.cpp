/** @file member_table_spread.cpp Membership table: sending gossip. */

#include "membership/member_table_state.h"
#include "membership/member_wire_func.h"

#include <algorithm>
#include <cmath>

namespace cicadamux
{

using namespace detail;

std::uint32_t member_table::state::sendLimit() const
{
    const auto size = static_cast<double>(store.liveCount(dataCenter) + 1);
    return retransmitFactor * static_cast<std::uint32_t>(std::max(1.0, std::ceil(std::log10(size))));
}

void member_table::state::addRecord(wire::Gossip &message, const member_entry &entry) const
{
    writeMember(currentRecord(entry), *message.add_members());
}

void member_table::state::setSender(wire::Gossip &message) const
{
    const member_record &own = selfEntry().record;
    message.set_sender(selfHost);
    message.set_incarnation(own.incarnation.value);
    message.set_configuration_digest(own.configurationDigest);
}

const member_record *member_table::state::recordToSend(const std::string &host) const
{
    if (const member_entry *entry = store.find(host)) {
        recordBuffer = currentRecord(*entry);
        return &recordBuffer;
    }
    const member_entry *entry = relayedRecords.find(host);
    return entry == nullptr ? nullptr : &entry->record;
}

void member_table::state::sendGossip(std::string_view address, wire::Gossip &message)
{
    setSender(message);
    const std::size_t plain = message.ByteSizeLong();
    updates.fill(message, std::min(settings.datagramBytes, plain + updateBudget), sendLimit(), [this](const std::string &host) {
        return recordToSend(host);
    });
    updateBudget -= std::min(updateBudget, message.ByteSizeLong() - plain);
    hooks.send(address, message.SerializeAsString());
}

void member_table::state::ping(std::string_view address, std::uint64_t sequence, std::string_view aboutHost)
{
    wire::Gossip message;
    message.set_kind(wire::Gossip::PING);
    message.set_sequence(sequence);
    addRecord(message, selfEntry()); // The probed member gets the current record even if gossip lost it.
    const member_entry *target = store.find(aboutHost);
    if (target != nullptr && target->isSuspected) {
        addRecord(message, *target); // Lets it refute at once (Lifeguard's buddy system).
    }
    sendGossip(address, message);
}

void member_table::state::makeUrgent(const std::string &host, std::uint32_t rounds)
{
    urgentMembers[host] = {rounds, now};
}

void member_table::state::makeUrgent(const change_announcement &change, std::uint32_t rounds)
{
    urgentChanges[change] = {rounds, now};
}

void member_table::state::push(const wire::Gossip &message, bool toOtherDataCenters, bool isOwn)
{
    wire::Gossip copy = message;
    setSender(copy);
    const std::string bytes = copy.SerializeAsString();
    const auto sendTo = [&](const std::string &address) {
        if (!isOwn) {
            updateBudget -= std::min(updateBudget, bytes.size());
        }
        hooks.send(address, bytes);
    };
    std::ranges::for_each(randomPeers(dataCenter, urgentFanout, {}), sendTo);
    if (!toOtherDataCenters) {
        return;
    }
    for (const auto &[name, members] : store.byDataCenter()) {
        if (name != dataCenter) {
            std::ranges::for_each(randomPeers(name, remoteFanout, {}), sendTo);
        }
    }
}

bool member_table::state::consumeRound(urgent_item &item, const wire::Gossip &message)
{
    const bool hasRoom = message.ByteSizeLong() * 2 < settings.datagramBytes;
    if (item.rounds == 0 || item.next > now || !hasRoom) {
        return false;
    }
    --item.rounds;
    item.next = now + pushInterval;
    return true;
}

void member_table::state::pushMembers(bool own)
{
    const bool isDigestHolder = holdsDuty(digestDuty, digestHolders);
    wire::Gossip message;
    message.set_kind(wire::Gossip::NEWS);
    bool toOtherDataCenters = own;
    for (auto &[host, item] : urgentMembers) {
        const member_entry *entry = store.find(host);
        if ((host == selfHost) == own && entry != nullptr && consumeRound(item, message)) {
            addRecord(message, *entry);
            toOtherDataCenters = toOtherDataCenters || (isDigestHolder && entry->record.dataCenter == dataCenter);
        }
    }
    if (message.members_size() > 0) {
        push(message, toOtherDataCenters, own);
    }
}

void member_table::state::pushChanges()
{
    wire::Gossip message;
    message.set_kind(wire::Gossip::NEWS);
    for (auto &[change, item] : urgentChanges) {
        if (consumeRound(item, message)) {
            writeChange(change, *message.add_changes());
        }
    }
    if (message.changes_size() > 0) {
        push(message, false, false);
    }
}

void member_table::state::pushUrgent()
{
    pushMembers(true);
    if (updateBudget > 0) {
        pushMembers(false);
        pushChanges();
    }
    std::erase_if(urgentMembers, [this](const auto &item) {
        return item.second.rounds == 0 || store.find(item.first) == nullptr;
    });
    std::erase_if(urgentChanges, [](const auto &item) {
        return item.second.rounds == 0;
    });
}

void member_table::state::requestExchange(std::string_view address)
{
    if (now < nextExchange || !hooks.exchange) {
        return;
    }
    nextExchange = now + jittered(minExchangeInterval);
    hooks.exchange(address);
}

void member_table::state::tickReconnect()
{
    if (now < nextReconnect) {
        return;
    }
    nextReconnect = now + jittered(reconnectPeriod);
    std::erase_if(lostAddresses, [this](const auto &item) {
        return item.second < now;
    });
    std::vector<std::string> addresses = seeds;
    for (const auto &[address, until] : lostAddresses) {
        addresses.push_back(address);
    }
    if (addresses.empty()) {
        return;
    }
    const std::string &address = addresses[randomBelow(addresses.size())];
    const bool isAlone = store.liveCount(dataCenter) <= 1;
    if (!isAlone && isLiveAddress(address)) {
        return; // Otherwise every daemon of the fleet would ping the seeds all the time.
    }
    if (isAlone) {
        requestExchange(address);
        nextReconnect = now + jittered(settings.probePeriod);
    }
    ping(address, nextSequence++, {});
}

void member_table::state::tickDigestUpdate()
{
    if (digestUpdateAt && *digestUpdateAt <= now) {
        publishOwnRecord(currentRecord(selfEntry()), false);
    }
}

} // namespace cicadamux
