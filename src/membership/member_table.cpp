/** @file member_table.cpp Membership table: merging records, and the public functions that change the table. */

#include "core/log_func.h"
#include "membership/member_table_state.h"

#include <algorithm>

namespace cicadamux
{

using namespace detail;

namespace
{
/** Whether a change is pushed at once: the member must receive no new calls, or is dead. */
bool isUrgentChange(const member_record &before, const member_record &after)
{
    const bool stopsServing = before.server == server_state::serving && after.server != server_state::serving;
    const bool leaves = after.state >= member_state::leaving && before.state < member_state::leaving;
    return stopsServing || leaves || (after.state == member_state::dead && before.state != member_state::dead);
}

/** @return A placeholder for the previous record of a member that was not known. */
member_record unknownRecord()
{
    member_record record;
    record.state = member_state::dead;
    return record;
}
} // namespace

member_table::state::state(member_settings memberSettings, const member_record &self, member_hooks memberHooks, random_source randomSource)
    : settings(std::move(memberSettings))
    , hooks(std::move(memberHooks))
    , random(std::move(randomSource))
    , selfHost(self.host)
    , dataCenter(self.dataCenter)
    , store(settings.maxMembers)
    , relayedRecords(settings.maxMembers)
{
    store.merge(self, now);
    updates.addMember(selfHost);
    nextSequence = random();
}

member_entry &member_table::state::selfEntry()
{
    return *store.find(selfHost);
}

const member_entry &member_table::state::selfEntry() const
{
    return *store.find(selfHost);
}

std::uint64_t member_table::state::randomBelow(std::uint64_t bound) const
{
    return random() % bound;
}

clock_ms member_table::state::jittered(clock_ms span) const
{
    return {(span.count / 2) + static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(span.count) + 1))};
}

void member_table::state::advanceClock(clock_ms at)
{
    now = std::max(now, at);
    const clock_ms threshold = std::max(minPauseGap, settings.probePeriod + settings.probePeriod + settings.probePeriod);
    const clock_ms gap = lastCallAt ? now - *lastCallAt : clock_ms{};
    lastCallAt = now;
    if (gap <= threshold) {
        return;
    }
    ++counters.processPauses;
    logEvent(log_level::warning, "process_paused", {{"gap_ms", gap.count}});
    for (const std::string &host : timedMembers) {
        store.find(host)->suspectedAt += gap;
    }
    currentProbe.reset();
    nextProbe = now;
    dutiesPausedUntil = now + dutyPauseAfterGap;
    publishOwnRecord(currentRecord(selfEntry()), true);
}

member_record member_table::state::currentRecord(const member_entry &entry) const
{
    member_record record = entry.record;
    if (record.server == server_state::serving) {
        record.servingFor += now - entry.changedAt;
    }
    return record;
}

bool member_table::state::shouldStore(const member_record &record) const
{
    if (record.dataCenter == dataCenter || settings.interests.empty() || store.find(record.host) != nullptr) {
        return true;
    }
    if (std::ranges::find(settings.interests, record.service) != settings.interests.end()) {
        return true;
    }
    return store.membersOf(record.dataCenter).size() < contactsPerDataCenter || holdsDuty(digestDuty, digestHolders);
}

void member_table::state::relayRecord(const member_record &record)
{
    if (relayedRecords.merge(record, now) == merge_result::newer) {
        relayedUntil[record.host] = now + relayRetention;
        updates.addMember(record.host);
    }
}

void member_table::state::mergeRecord(const member_record &record)
{
    if (record.host == selfHost) {
        mergeOwnRecord(record);
        return;
    }
    if (!shouldStore(record)) {
        relayRecord(record);
        return;
    }
    const member_entry *held = store.find(record.host);
    if (held == nullptr && record.state == member_state::dead) {
        return; // Storing it would make dead records circulate for ever.
    }
    const member_record before = held != nullptr ? held->record : unknownRecord();
    switch (store.merge(record, now)) {
    case merge_result::newer:
        recordMerged(before, *store.find(record.host));
        break;
    case merge_result::refused:
        ++counters.olderIncarnations;
        break;
    case merge_result::older:
    case merge_result::same:
        break;
    }
}

void member_table::state::recordMerged(const member_record &before, member_entry &entry)
{
    const member_record &record = entry.record;
    const bool isOwn = record.dataCenter == dataCenter;
    entry.isSuspected = isOwn && record.state == member_state::suspect;
    entry.suspectedAt = now;
    if (entry.isSuspected || record.state == member_state::dead) {
        timedMembers.insert(record.host);
    } else {
        timedMembers.erase(record.host);
    }
    if (record.state == member_state::dead && isOwn && lostAddresses.size() < maxLostAddresses) {
        lostAddresses[record.peerAddress] = now + lostAddressRetention;
    }
    if (isOwn && before.state == member_state::dead && record.state != member_state::dead) {
        const std::size_t position = probeNext + randomBelow(probeOrder.size() - std::min(probeNext, probeOrder.size()) + 1);
        probeOrder.insert(probeOrder.begin() + static_cast<std::ptrdiff_t>(std::min(position, probeOrder.size())), record.host);
        lostAddresses.erase(record.peerAddress);
        if (!before.host.empty()) {
            requestExchange(record.peerAddress); // The member was declared dead: both sides may have missed many updates.
        }
    }
    updates.addMember(record.host);
    if (!before.host.empty() && isUrgentChange(before, record)) {
        makeUrgent(record.host, relayedUpdateRounds);
    }
    isViewChanged = true;
}

void member_table::state::mergeOwnRecord(const member_record &record)
{
    member_record own = currentRecord(selfEntry());
    if (record.incarnation < own.incarnation) {
        ++counters.olderIncarnations;
        return;
    }
    const auto versionOf = [](const member_record &one) {
        return std::tuple(one.incarnation, one.revision, one.state);
    };
    if (own.state == member_state::dead) {
        return;
    }
    if (versionOf(record) <= versionOf(own)) {
        if (record.state != own.state) {
            updates.addMember(selfHost); // Refuted already; the sender has not received the refutation yet.
        }
        return;
    }
    ++counters.refutations;
    if (record.incarnation > own.incarnation) {
        logEvent(log_level::warning, "own_incarnation_exceeded", {{"own", own.incarnation.value}, {"heard", record.incarnation.value}});
        own.incarnation.value = record.incarnation.value + 1;
    }
    own.revision = std::max(own.revision, record.revision);
    publishOwnRecord(std::move(own), true);
}

void member_table::state::publishOwnRecord(member_record record, bool urgent)
{
    ++record.revision;
    store.merge(record, now);
    updates.addMember(selfHost);
    digestUpdateAt.reset();
    isViewChanged = true;
    if (urgent) {
        makeUrgent(selfHost, ownUpdateRounds);
    }
}

bool member_table::state::countAbsence(member_entry &entry) const
{
    const bool isConsecutive = now - entry.lastAbsentAt <= absenceWindow;
    entry.absences = isConsecutive ? entry.absences + 1 : 1;
    entry.lastAbsentAt = now;
    return entry.absences >= absencesUntilDead;
}

void member_table::state::notifyIfChanged()
{
    if (!isViewChanged) {
        return;
    }
    isViewChanged = false;
    if (hooks.viewChanged) {
        hooks.viewChanged();
    }
}

member_table::member_table(member_settings settings, const member_record &self, member_hooks hooks, random_source random)
    : m_state(std::make_unique<state>(std::move(settings), self, std::move(hooks), std::move(random)))
{
}

member_table::~member_table() = default;

void member_table::addSeeds(std::span<const std::string> addresses)
{
    for (const std::string &address : addresses) {
        const bool isKnown = std::ranges::find(m_state->seeds, address) != m_state->seeds.end();
        if (!isKnown && address != self().peerAddress && m_state->seeds.size() < maxSeeds) {
            m_state->seeds.push_back(address);
        }
    }
}

void member_table::updateSelf(const std::function<void(member_record &)> &change, clock_ms now)
{
    m_state->advanceClock(now);
    const member_record before = m_state->currentRecord(m_state->selfEntry());
    member_record after = before;
    change(after);
    const std::uint64_t digest = after.configurationDigest;
    if (digest != before.configurationDigest) {
        m_state->selfEntry().record.configurationDigest = digest;
        m_state->isViewChanged = true;
        if (!m_state->digestUpdateAt) {
            const std::int64_t span = digestUpdateMsPerMember * static_cast<std::int64_t>(m_state->store.size());
            m_state->digestUpdateAt = m_state->now + clock_ms{static_cast<std::int64_t>(m_state->randomBelow(static_cast<std::uint64_t>(span)))};
        }
    }
    after.configurationDigest = before.configurationDigest;
    if (after != before) {
        after.configurationDigest = digest;
        m_state->publishOwnRecord(std::move(after), true);
        m_state->pushUrgent();
    }
    m_state->notifyIfChanged();
}

void member_table::announce(const change_announcement &change, clock_ms now)
{
    m_state->advanceClock(now);
    m_state->updates.addChange(change);
    m_state->makeUrgent(change, relayedUpdateRounds);
}

void member_table::receive(std::string_view fromAddress, std::string_view datagram, clock_ms now)
{
    m_state->advanceClock(now);
    wire::Gossip message;
    if (!message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) || message.sender().empty() || message.incarnation() == 0) {
        ++m_state->counters.malformed;
        return;
    }
    m_state->receive(fromAddress, message);
    m_state->notifyIfChanged();
}

void member_table::tick(clock_ms now)
{
    m_state->advanceClock(now);
    if (m_state->dutiesPausedUntil && *m_state->dutiesPausedUntil <= m_state->now) {
        m_state->dutiesPausedUntil.reset();
    }
    m_state->tickProbe();
    m_state->tickExpiry();
    m_state->tickDigestUpdate();
    m_state->tickReconnect();
    m_state->pushUrgent();
    m_state->notifyIfChanged();
}

void member_table::merge(std::span<const member_record> records, clock_ms now)
{
    m_state->advanceClock(now);
    for (const member_record &record : records) {
        m_state->mergeRecord(record);
    }
    m_state->notifyIfChanged();
}

void member_table::mergeAuthoritative(const member_filter &filter, std::uint64_t buckets, std::span<const member_record> records, clock_ms now)
{
    m_state->advanceClock(now);
    std::set<std::string_view> named;
    for (const member_record &record : records) {
        named.insert(record.host);
        m_state->mergeRecord(record);
    }
    std::vector<std::string> gone;
    for (const member_entry *selected : m_state->selected(filter)) {
        member_entry &entry = *m_state->store.find(selected->record.host);
        const bool isAsked = ((buckets >> entry.bucket) & 1U) != 0;
        if (!isAsked || !isLive(entry.record.state)) {
            continue;
        }
        if (named.contains(entry.record.host)) {
            entry.absences = 0;
        } else if (m_state->countAbsence(entry)) {
            gone.push_back(entry.record.host);
        }
    }
    for (const std::string &host : gone) {
        m_state->declareDead(host);
    }
    m_state->notifyIfChanged();
}

const member_record &member_table::self() const
{
    return m_state->selfEntry().record;
}

const member_counters &member_table::counters() const
{
    return m_state->counters;
}

} // namespace cicadamux
