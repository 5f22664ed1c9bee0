/** @file fleet_exchange.cpp Fleet membership of a daemon: starting exchanges. */

#include "fleet/fleet_state.h"
#include "peer/peer_codec_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadamux
{

using namespace detail;

exchange_request fleet::state::newRequest(exchange_scope scope)
{
    exchange_request request;
    request.scope = scope;
    request.senderAddress = settings.peerAddress;
    request.senderDataCenter = settings.dataCenter;
    request.configurationDigest = config.digest();
    const std::lock_guard lock(tableMutex);
    request.members.push_back(table.self());
    return request;
}

void fleet::state::startExchange(const std::string &address, exchange_request request)
{
    if (!hooks.exchange || address == settings.peerAddress || exchangesInProgress.size() >= maxExchanges || !exchangesInProgress.insert(address).second) {
        return;
    }
    ++exchanges;
    exchangeBytesSent += encodeExchange(request).ByteSizeLong();
    const auto asked = std::make_shared<const exchange_request>(std::move(request));
    auto handler = [weak = weak_from_this(), address, asked](std::optional<exchange_reply> reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        boost::asio::post(self->strand, [self, address, asked, reply = std::move(reply)] {
            self->exchangesInProgress.erase(address);
            if (reply && !self->isStopped) {
                self->handleReply(address, *asked, *reply);
            }
        });
    };
    callHook([&] {
        hooks.exchange(address, *asked, std::move(handler));
    });
}

void fleet::state::handleReply(const std::string &address, const exchange_request &request, const exchange_reply &reply)
{
    exchangeBytesReceived += encodeExchangeReply(reply).ByteSizeLong();
    mergeMembers(address, request, reply);
    for (const configuration_object &object : reply.newer) {
        config.offer(object);
    }
    if (reply.isTruncated && !reply.newer.empty()) {
        pullConfiguration(address);
    }
    if (reply.configurationDiffers) {
        configurationDiffers(address);
    }
}

void fleet::state::mergeMembers(const std::string &address, const exchange_request &request, const exchange_reply &reply)
{
    const bool isFull = request.scope == exchange_scope::full;
    if (isFull && reply.dataCenter == settings.dataCenter && !hasAllMembers) {
        hasAllMembers = true;
        nextLocalComparison = clock_ms{}; // A new daemon compares with a second neighbour at once, as the first may be out of date.
    }
    hasJoined = hasJoined || hasAllMembers;
    const bool isAuthority = !isFull && reply.dataCenter != settings.dataCenter && reply.dataCenter == request.filter.dataCenter;
    withTable([&](member_table &members) {
        if (isAuthority && reply.memberBuckets != 0) {
            members.mergeAuthoritative(request.filter, reply.memberBuckets, reply.members, steadyNow());
        } else {
            members.merge(reply.members, steadyNow());
        }
    });
    if (!reply.membersDiffer) {
        return;
    }
    exchange_request detailed = newRequest(exchange_scope::compare);
    detailed.filter = request.filter;
    {
        const std::lock_guard lock(tableMutex);
        detailed.memberDigests = table.digests(request.filter, memberBuckets);
    }
    startExchange(address, std::move(detailed));
}

void fleet::state::requestFullExchange(const std::string &address)
{
    exchange_request request = newRequest(exchange_scope::full);
    request.generations = config.generations();
    request.filter.services = settings.membership.interests;
    startExchange(address, std::move(request));
}

void fleet::state::compareMembers(const std::string &address, const std::string &dataCenter, const std::vector<std::string> &services)
{
    exchange_request request = newRequest(exchange_scope::compare);
    request.filter = {dataCenter, services};
    {
        const std::lock_guard lock(tableMutex);
        request.memberDigests = table.digests(request.filter, 1);
    }
    startExchange(address, std::move(request));
}

void fleet::state::pullConfiguration(const std::string &address)
{
    exchange_request request = newRequest(exchange_scope::configuration);
    request.generations = config.generations();
    startExchange(address, std::move(request));
}

void fleet::state::pullNamed(const std::string &address, const std::vector<object_generation> &requested)
{
    const clock_ms now = steadyNow();
    std::erase_if(pendingPulls, [now](const auto &item) {
        return item.second.second <= now;
    });
    exchange_request request = newRequest(exchange_scope::named);
    for (const object_generation &object : requested) {
        const change_announcement change{object.kind, object.name, object.generation, object.operation};
        const auto found = pendingPulls.find({object.kind, object.name});
        if (found != pendingPulls.end() && found->second.first >= change) {
            continue; // Already requested from another announcer.
        }
        if (pendingPulls.size() >= maxPendingPulls || exchangesInProgress.contains(address)) {
            break;
        }
        pendingPulls[{object.kind, object.name}] = {change, now + namedPullTimeout};
        object_generation own{object.kind, object.name, 0, 0};
        const auto held = announcedGenerations.find({object.kind, object.name});
        request.generations.push_back(held != announcedGenerations.end() ? held->second : own);
    }
    if (!request.generations.empty()) {
        startExchange(address, std::move(request));
    }
}

void fleet::state::configurationDiffers(const std::string &address)
{
    const clock_ms now = steadyNow();
    const bool isEmpty = announcedGenerations.empty();
    const bool hasSettled = isEmpty || now - configurationChangedAt >= configurationSettleTime;
    if (now < nextPull || !hasSettled) {
        return;
    }
    const auto growth = static_cast<std::int64_t>(1 + (announcedGenerations.size() / objectsPerPullInterval));
    nextPull = now + jitteredSpan(isEmpty ? emptyPullInterval : clock_ms{minPullInterval.count * growth});
    pullConfiguration(address);
}

void fleet::state::tickComparisons(clock_ms now)
{
    std::vector<std::tuple<std::string, std::string, std::vector<std::string>>> due; // Address, data centre, services.
    {
        const std::lock_guard lock(tableMutex);
        if (now >= nextLocalComparison) {
            nextLocalComparison = now + jitteredSpan(localComparisonPeriod);
            due.emplace_back(table.randomPeer(settings.dataCenter), settings.dataCenter, std::vector<std::string>{});
        }
        const auto &interests = settings.membership.interests;
        const bool isHolder = table.holdsDuty(digestDuty, digestHolders);
        std::vector<std::string> others = table.dataCenters();
        std::erase(others, settings.dataCenter);
        for (const std::string &other : others) {
            clock_ms &next = nextRemoteComparison[other];
            if (isHolder && now >= next) {
                next = now + jitteredSpan(remoteComparisonPeriod);
                due.emplace_back(table.randomPeer(other), other, std::vector<std::string>{});
            }
        }
        if (now >= nextInterestComparison && (interests.empty() || !others.empty())) {
            const bool comparesAll = interests.empty() && (others.empty() || threadRandom() % comparisonsPerFullComparison == 0);
            const std::string &other = others.empty() ? settings.dataCenter : others[threadRandom() % others.size()];
            const auto size = static_cast<std::int64_t>(published.load()->size());
            const clock_ms interestPeriod = std::max(minInterestPeriod, clock_ms{size * interestPeriodMsPerMember});
            nextInterestComparison = now + jitteredSpan(interests.empty() ? localComparisonPeriod : interestPeriod);
            if (comparesAll) { // Discovers unknown data centres, and members of this data centre that only others know.
                due.emplace_back(table.randomPeer(other), std::string(), interests);
            } else {
                due.emplace_back(table.randomPeer(interests.empty() ? settings.dataCenter : other), other, interests);
            }
        }
    }
    for (const auto &[address, dataCenter, services] : due) {
        if (!address.empty()) {
            compareMembers(address, dataCenter, services);
        }
    }
}

} // namespace cicadamux
