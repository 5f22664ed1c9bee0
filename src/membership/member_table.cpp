/** @file member_table.cpp A daemon's view of the fleet: records and their order. */

#include "core/log_func.h"
#include "membership/member_table_state.h"

#include <algorithm>

namespace cicadamux
{

using namespace detail;

namespace
{
/** Whether a change is urgent: the member is to receive no new work, or is gone. */
bool endsWork(const member_record &before, const member_record &after)
{
    const bool stopsServing = before.server == server_state::serving && after.server != server_state::serving;
    const bool leaves = after.state >= member_state::leaving && before.state < member_state::leaving;
    return stopsServing || leaves || (after.state == member_state::dead && before.state != member_state::dead);
}
/** Stands for a member that wasn't known. */
member_record noRecord()
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
    , passing(settings.maxMembers)
{
    store.offer(self, now);
    news.addMember(selfHost);
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

std::uint64_t member_table::state::below(std::uint64_t bound) const
{
    return random() % bound;
}

clock_ms member_table::state::jittered(clock_ms span) const
{
    return {(span.count / 2) + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(span.count) + 1))};
}

void member_table::state::noteTime(clock_ms at)
{
    now = std::max(now, at);
    const clock_ms threshold = std::max(leastGap, settings.probePeriod + settings.probePeriod + settings.probePeriod);
    const clock_ms gap = lastCall ? now - *lastCall : clock_ms{};
    lastCall = now;
    if (gap <= threshold) {
        return;
    }
    ++counters.timeGaps;
    logEvent(log_level::warning, "process_paused", {{"gap_ms", gap.count}});
    for (const std::string &host : timed) {
        store.find(host)->suspectedAt += gap;
    }
    probing.reset();
    nextProbe = now;
    restsUntil = now + restAfterGap;
    renewSelf(aged(selfEntry()), true);
}

member_record member_table::state::aged(const member_entry &entry) const
{
    member_record record = entry.record;
    if (record.server == server_state::serving) {
        record.servingFor += now - entry.changedAt;
    }
    return record;
}

bool member_table::state::keeps(const member_record &record) const
{
    if (record.dataCenter == dataCenter || settings.interests.empty() || store.find(record.host) != nullptr) {
        return true;
    }
    if (std::ranges::find(settings.interests, record.service) != settings.interests.end()) {
        return true;
    }
    return store.of(record.dataCenter).size() < contactsPerDataCenter || holdsDuty(digestDuty, digestHolders);
}

void member_table::state::passOn(const member_record &record)
{
    if (passing.offer(record, now) == merge_result::newer) {
        passingUntil[record.host] = now + passingMemory;
        news.addMember(record.host);
    }
}

void member_table::state::take(const member_record &record)
{
    if (record.host == selfHost) {
        hearOfSelf(record);
        return;
    }
    if (!keeps(record)) {
        passOn(record);
        return;
    }
    const member_entry *held = store.find(record.host);
    if (held == nullptr && record.state == member_state::dead) {
        return; // Nothing to bury; remembering it would keep it going round for ever.
    }
    const member_record before = held != nullptr ? held->record : noRecord();
    switch (store.offer(record, now)) {
    case merge_result::newer:
        taken(before, *store.find(record.host));
        break;
    case merge_result::refused:
        ++counters.olderIncarnations;
        break;
    case merge_result::older:
    case merge_result::same:
        break;
    }
}

void member_table::state::taken(const member_record &before, member_entry &entry)
{
    const member_record &record = entry.record;
    const bool isOwn = record.dataCenter == dataCenter;
    entry.isSuspected = isOwn && record.state == member_state::suspect;
    entry.suspectedAt = now;
    if (entry.isSuspected || record.state == member_state::dead) {
        timed.insert(record.host);
    } else {
        timed.erase(record.host);
    }
    if (record.state == member_state::dead && isOwn && lost.size() < maxLost) {
        lost[record.peerAddress] = now + lostMemory;
    }
    if (isOwn && before.state == member_state::dead && record.state != member_state::dead) {
        const std::size_t position = probeNext + below(probeOrder.size() - std::min(probeNext, probeOrder.size()) + 1);
        probeOrder.insert(probeOrder.begin() + static_cast<std::ptrdiff_t>(std::min(position, probeOrder.size())), record.host);
        lost.erase(record.peerAddress);
        if (!before.host.empty()) {
            wantExchange(record.peerAddress); // Back from the dead: much may have been missed on both sides.
        }
    }
    news.addMember(record.host);
    if (!before.host.empty() && endsWork(before, record)) {
        makeUrgent(record.host, relayRounds);
    }
    isDirty = true;
}

void member_table::state::hearOfSelf(const member_record &record)
{
    member_record own = aged(selfEntry());
    if (record.incarnation < own.incarnation) {
        ++counters.olderIncarnations;
        return;
    }
    const auto orderOf = [](const member_record &one) {
        return std::tuple(one.incarnation, one.revision, one.state);
    };
    if (own.state == member_state::dead) {
        return;
    }
    if (orderOf(record) <= orderOf(own)) {
        if (record.state != own.state) {
            news.addMember(selfHost); // Refuted already; that side hasn't heard of it.
        }
        return;
    }
    ++counters.refutations;
    if (record.incarnation > own.incarnation) {
        logEvent(log_level::warning, "own_incarnation_exceeded", {{"own", own.incarnation.value}, {"heard", record.incarnation.value}});
        own.incarnation.value = record.incarnation.value + 1;
    }
    own.revision = std::max(own.revision, record.revision);
    renewSelf(std::move(own), true);
}

void member_table::state::renewSelf(member_record record, bool urgent)
{
    ++record.revision;
    store.offer(record, now);
    news.addMember(selfHost);
    digestNewsAt.reset();
    isDirty = true;
    if (urgent) {
        makeUrgent(selfHost, ownRounds);
    }
}

bool member_table::state::isAbsent(member_entry &entry) const
{
    const bool isInARow = now - entry.absentAt <= absenceMemory;
    entry.absences = isInARow ? entry.absences + 1 : 1;
    entry.absentAt = now;
    return entry.absences >= absencesOfDead;
}

void member_table::state::finishEvent()
{
    if (!isDirty) {
        return;
    }
    isDirty = false;
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
    m_state->noteTime(now);
    const member_record before = m_state->aged(m_state->selfEntry());
    member_record after = before;
    change(after);
    const std::uint64_t digest = after.configurationDigest;
    if (digest != before.configurationDigest) {
        m_state->selfEntry().record.configurationDigest = digest;
        m_state->isDirty = true;
        if (!m_state->digestNewsAt) {
            const std::int64_t span = digestNewsShare * static_cast<std::int64_t>(m_state->store.size());
            m_state->digestNewsAt = m_state->now + clock_ms{static_cast<std::int64_t>(m_state->below(static_cast<std::uint64_t>(span)))};
        }
    }
    after.configurationDigest = before.configurationDigest;
    if (after != before) {
        after.configurationDigest = digest;
        m_state->renewSelf(std::move(after), true);
        m_state->pushUrgent();
    }
    m_state->finishEvent();
}

void member_table::announce(const change_announcement &change, clock_ms now)
{
    m_state->noteTime(now);
    m_state->news.addChange(change);
    m_state->makeUrgent(change, relayRounds);
}

void member_table::receive(std::string_view fromAddress, std::string_view datagram, clock_ms now)
{
    m_state->noteTime(now);
    wire::Gossip message;
    if (!message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) || message.sender().empty() || message.incarnation() == 0) {
        ++m_state->counters.malformed;
        return;
    }
    m_state->receive(fromAddress, message);
    m_state->finishEvent();
}

void member_table::tick(clock_ms now)
{
    m_state->noteTime(now);
    if (m_state->restsUntil && *m_state->restsUntil <= m_state->now) {
        m_state->restsUntil.reset();
    }
    m_state->tickProbe();
    m_state->tickTimed();
    m_state->tickDigestNews();
    m_state->tickReconnect();
    m_state->pushUrgent();
    m_state->finishEvent();
}

void member_table::merge(std::span<const member_record> records, clock_ms now)
{
    m_state->noteTime(now);
    for (const member_record &record : records) {
        m_state->take(record);
    }
    m_state->finishEvent();
}

void member_table::mergeAuthoritative(const member_filter &filter, std::uint64_t buckets, std::span<const member_record> records, clock_ms now)
{
    m_state->noteTime(now);
    std::set<std::string_view> named;
    for (const member_record &record : records) {
        named.insert(record.host);
        m_state->take(record);
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
        } else if (m_state->isAbsent(entry)) {
            gone.push_back(entry.record.host);
        }
    }
    for (const std::string &host : gone) {
        m_state->declareDead(host);
    }
    m_state->finishEvent();
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
