/** @file member_table_receive.cpp Membership table: handling received datagrams. */

#include "membership/member_table_state.h"
#include "membership/member_wire_func.h"

namespace cicadamux
{

using namespace detail;

void member_table::state::receive(std::string_view fromAddress, const wire::Gossip &message)
{
    if (message.sender() == selfHost && message.incarnation() == selfEntry().record.incarnation.value) {
        return; // Sent to itself by way of an outdated seed address.
    }
    for (const wire::Member &member : message.members()) {
        if (const auto record = readMember(member)) {
            mergeRecord(*record);
        } else {
            ++counters.malformed;
        }
    }
    requestExchangeIfUnknown(fromAddress, message);
    for (const wire::Object_Generation &change : message.changes()) {
        if (hooks.changeAnnounced) {
            hooks.changeAnnounced(fromAddress, {change.kind(), change.name(), change.generation(), change.operation()});
        }
    }
    switch (message.kind()) {
    case wire::Gossip::PING:
        handlePing(fromAddress, message);
        break;
    case wire::Gossip::ACK:
        handleAck(message);
        break;
    case wire::Gossip::INDIRECT_PING:
        handleIndirectPing(fromAddress, message);
        break;
    default:
        break;
    }
    compareConfiguration(fromAddress, message);
}

void member_table::state::requestExchangeIfUnknown(std::string_view fromAddress, const wire::Gossip &message)
{
    const member_entry *sender = store.find(message.sender());
    if (sender == nullptr || sender->record.incarnation.value < message.incarnation()) {
        requestExchange(fromAddress);
    }
}

void member_table::state::handlePing(std::string_view fromAddress, const wire::Gossip &message)
{
    wire::Gossip answer;
    answer.set_kind(wire::Gossip::ACK);
    answer.set_sequence(message.sequence());
    const member_entry *sender = store.find(message.sender());
    if (sender != nullptr && (sender->isSuspected || !isLive(sender->record.state))) {
        addRecord(answer, *sender); // Lets it refute at once (Lifeguard's buddy system).
    }
    sendGossip(fromAddress, answer);
}

void member_table::state::handleIndirectPing(std::string_view fromAddress, const wire::Gossip &message)
{
    if (relayedProbes.size() >= maxRelayedProbes || message.target_address().empty()) {
        ++counters.malformed;
        return;
    }
    const std::uint64_t sequence = nextSequence++;
    relayedProbes[sequence] = {std::string(fromAddress), message.sequence(), now + settings.probePeriod};
    ping(message.target_address(), sequence, {});
}

void member_table::state::handleAck(const wire::Gossip &message)
{
    dutiesPausedUntil.reset();
    if (currentProbe && currentProbe->sequence == message.sequence()) {
        currentProbe.reset();
        healthPenalty -= healthPenalty > 0 ? 1 : 0;
        return;
    }
    const auto found = relayedProbes.find(message.sequence());
    if (found == relayedProbes.end()) {
        return;
    }
    wire::Gossip answer;
    answer.set_kind(wire::Gossip::ACK);
    answer.set_sequence(found->second.originSequence);
    sendGossip(found->second.origin, answer);
    relayedProbes.erase(found);
}

void member_table::state::compareConfiguration(std::string_view fromAddress, const wire::Gossip &message)
{
    if (message.kind() != wire::Gossip::PING && message.kind() != wire::Gossip::ACK) {
        return;
    }
    member_entry *sender = store.find(message.sender());
    if (sender != nullptr && sender->record.configurationDigest != message.configuration_digest()) {
        sender->record.configurationDigest = message.configuration_digest();
        isViewChanged = true;
    }
    if (message.configuration_digest() != selfEntry().record.configurationDigest && hooks.digestDiffers) {
        hooks.digestDiffers(message.sender(), fromAddress, message.configuration_digest());
    }
}

} // namespace cicadamux
