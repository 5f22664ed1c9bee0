/** @file fleet_configuration.cpp Fleet membership of a daemon: announcing configuration changes, and the duties at the platform. */

#include "fleet/fleet_state.h"

#include "core/log_func.h"

#include <boost/asio/post.hpp>

namespace cicadamux
{

using namespace detail;

void fleet::state::policyChanged(const std::shared_ptr<const policy_set> &policies)
{
    callHook([&] {
        if (hooks.policyChanged) {
            hooks.policyChanged(policies);
        }
    });
    if (!isAnnouncePosted.exchange(true)) {
        boost::asio::post(strand, [self = shared_from_this()] {
            self->isAnnouncePosted = false;
            self->announceChanges();
        });
    }
}

void fleet::state::announceChanges()
{
    const clock_ms now = steadyNow();
    std::vector<change_announcement> changes;
    for (const object_generation &object : config.generations()) {
        object_generation &held = announcedGenerations[{object.kind, object.name}];
        if (held != object) {
            held = object;
            changes.push_back({object.kind, object.name, object.generation, object.operation});
            pendingPulls.erase({object.kind, object.name});
        }
    }
    if (changes.empty()) {
        return;
    }
    configurationChangedAt = now;
    withTable([&](member_table &members) {
        members.updateSelf(
            [this](member_record &record) {
                record.configurationDigest = config.digest();
            },
            now);
        if (changes.size() > maxAnnouncedChanges) {
            return; // So many at once are the initial load of a new daemon; the others have them already.
        }
        for (const change_announcement &change : changes) {
            members.announce(change, now);
        }
    });
}

void fleet::state::tickDuties(clock_ms now)
{
    if (platform == nullptr) {
        return;
    }
    bool isAlone = false;
    bool watchHeld = false;
    bool seedsHeld = false;
    {
        const std::lock_guard lock(tableMutex);
        isAlone = table.randomPeer(settings.dataCenter).empty();
        watchHeld = table.holdsDuty(watchDuty, watchHolders);
        seedsHeld = table.holdsDuty(seedsDuty, seedsHolders);
    }
    hasJoined = hasJoined || now >= dutiesAllowedAt;
    stepSeeds(isAlone, seedsHeld && hasJoined, now);
    for (const auto &watch : watches) {
        stepWatch(watch, watchHeld && hasJoined, now);
    }
}

void fleet::state::stepWatch(const std::shared_ptr<policy_watch> &watch, bool holdsDuty, clock_ms now)
{
    const policy_watch::action action = watch->next(holdsDuty, now);
    if (action == policy_watch::action::none) {
        return;
    }
    ++platformCalls;
    const auto handler = [weak = weak_from_this(), watch](const store_result<store_changes> &result) {
        if (const auto self = weak.lock()) {
            boost::asio::post(self->strand, [self, watch, result] {
                if (!self->isStopped) {
                    watch->finished(result, steadyNow());
                    self->nextDutyCheck = clock_ms{};
                }
            });
        }
    };
    if (action == policy_watch::action::list) {
        platform->list(watch->kind(), handler);
    } else {
        platform->watch(watch->kind(), watch->cursor(), settings.platformWatch, handler);
    }
}

void fleet::state::offerObjects(std::span<const stored_object> objects)
{
    for (const stored_object &object : objects) {
        config.offer({object.kind, object.name, 0, object.value});
    }
}

void fleet::state::stepSeeds(bool isAlone, bool holdsDuty, clock_ms now)
{
    if (!seeds.isListDue(isAlone, holdsDuty, now)) {
        return;
    }
    ++platformCalls;
    platform->list(seedListKind, [weak = weak_from_this(), holdsDuty](const store_result<store_changes> &result) {
        if (const auto self = weak.lock()) {
            boost::asio::post(self->strand, [self, result, holdsDuty] {
                self->seedsListed(result, holdsDuty);
            });
        }
    });
}

void fleet::state::seedsListed(const store_result<store_changes> &result, bool holdsDuty)
{
    if (isStopped) {
        return;
    }
    const std::vector<std::string> addresses = seeds.finished(result, steadyNow());
    withTable([&](member_table &members) {
        members.addSeeds(addresses);
    });
    if (!holdsDuty || result.failure != store_failure::none) {
        return;
    }
    std::vector<std::string> alive;
    for (const member_record &record : *published.load()) {
        if (record.dataCenter == settings.dataCenter && record.state == member_state::alive) {
            alive.push_back(record.peerAddress);
        }
    }
    const auto write = seeds.writeAfterList(alive);
    if (!write) {
        return;
    }
    ++platformCalls;
    platform->put(seedListKind, settings.dataCenter, write->value, write->ifVersion, [](const store_result<std::uint64_t> &written) {
        // A conflict or a lost reply is not retried: the list is read again a minute later.
        logEvent(log_level::info, "seed_list_written", {{"failed", written.failure != store_failure::none}});
    });
}

} // namespace cicadamux
