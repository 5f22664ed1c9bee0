/** @file fleet_exchange.cpp One daemon's part in the fleet: exchanges, as the one that asks. */

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

void fleet::state::ask(const std::string &address, exchange_request request)
{
    if (!hooks.exchange || address == settings.peerAddress || exchanging.size() >= maxExchanges || !exchanging.insert(address).second) {
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
            self->exchanging.erase(address);
            if (reply && !self->isStopped) {
                self->replied(address, *asked, *reply);
            }
        });
    };
    callHook([&] {
        hooks.exchange(address, *asked, std::move(handler));
    });
}

void fleet::state::replied(const std::string &address, const exchange_request &request, const exchange_reply &reply)
{
    exchangeBytesReceived += encodeExchangeReply(reply).ByteSizeLong();
    takeMembers(address, request, reply);
    for (const configuration_object &object : reply.newer) {
        config.offer(object);
    }
    if (reply.isCut && !reply.newer.empty()) {
        pullConfiguration(address);
    }
    if (reply.configurationDiffers) {
        configurationDiffers(address);
    }
}

void fleet::state::takeMembers(const std::string &address, const exchange_request &request, const exchange_reply &reply)
{
    const bool isWhole = request.scope == exchange_scope::full;
    if (isWhole && reply.dataCenter == settings.dataCenter && !isFilled) {
        isFilled = true;
        nextLocal = clock_ms{}; // A new daemon doesn't rely on one neighbour's word.
    }
    hasJoined = hasJoined || isFilled;
    const bool isAuthority = !isWhole && reply.dataCenter != settings.dataCenter && reply.dataCenter == request.filter.dataCenter;
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
    ask(address, std::move(detailed));
}

void fleet::state::askFully(const std::string &address)
{
    exchange_request request = newRequest(exchange_scope::full);
    request.generations = config.generations();
    request.filter.services = settings.membership.interests;
    ask(address, std::move(request));
}

void fleet::state::compareMembers(const std::string &address, const std::string &dataCenter, const std::vector<std::string> &services)
{
    exchange_request request = newRequest(exchange_scope::compare);
    request.filter = {dataCenter, services};
    {
        const std::lock_guard lock(tableMutex);
        request.memberDigests = table.digests(request.filter, 1);
    }
    ask(address, std::move(request));
}

void fleet::state::pullConfiguration(const std::string &address)
{
    exchange_request request = newRequest(exchange_scope::configuration);
    request.generations = config.generations();
    ask(address, std::move(request));
}

void fleet::state::pullNamed(const std::string &address, const std::vector<object_generation> &wanted)
{
    const clock_ms now = steadyNow();
    std::erase_if(pulls, [now](const auto &item) {
        return item.second.second <= now;
    });
    exchange_request request = newRequest(exchange_scope::named);
    for (const object_generation &object : wanted) {
        const change_announcement change{object.kind, object.name, object.generation, object.operation};
        const auto found = pulls.find({object.kind, object.name});
        if (found != pulls.end() && found->second.first >= change) {
            continue; // Another announcer has been asked.
        }
        if (pulls.size() >= maxPulls || exchanging.contains(address)) {
            break;
        }
        pulls[{object.kind, object.name}] = {change, now + namedPullTime};
        object_generation own{object.kind, object.name, 0, 0};
        const auto held = known.find({object.kind, object.name});
        request.generations.push_back(held != known.end() ? held->second : own);
    }
    if (!request.generations.empty()) {
        ask(address, std::move(request));
    }
}

void fleet::state::configurationDiffers(const std::string &address)
{
    const clock_ms now = steadyNow();
    const bool isEmpty = known.empty();
    const bool isSettled = isEmpty || now - configurationChangedAt >= settleTime;
    if (now < nextPull || !isSettled) {
        return;
    }
    const auto growth = static_cast<std::int64_t>(1 + (known.size() / pullGapObjects));
    nextPull = now + jitteredSpan(isEmpty ? emptyPullGap : clock_ms{pullGap.count * growth});
    pullConfiguration(address);
}

void fleet::state::tickComparisons(clock_ms now)
{
    std::vector<std::tuple<std::string, std::string, std::vector<std::string>>> due; // Address, data centre, services.
    {
        const std::lock_guard lock(tableMutex);
        if (now >= nextLocal) {
            nextLocal = now + jitteredSpan(localPeriod);
            due.emplace_back(table.randomPeer(settings.dataCenter), settings.dataCenter, std::vector<std::string>{});
        }
        const auto &interests = settings.membership.interests;
        const bool isHolder = table.holdsDuty(digestDuty, digestHolders);
        std::vector<std::string> others = table.dataCenters();
        std::erase(others, settings.dataCenter);
        for (const std::string &other : others) {
            clock_ms &next = nextRemote[other];
            if (isHolder && now >= next) {
                next = now + jitteredSpan(remotePeriod);
                due.emplace_back(table.randomPeer(other), other, std::vector<std::string>{});
            }
        }
        if (now >= nextInterest && (interests.empty() || !others.empty())) {
            const bool asksAll = interests.empty() && (others.empty() || threadRandom() % allShare == 0);
            const std::string &other = others.empty() ? settings.dataCenter : others[threadRandom() % others.size()];
            const auto size = static_cast<std::int64_t>(published.load()->size());
            const clock_ms abroad = std::max(leastInterestPeriod, clock_ms{size * interestShare});
            nextInterest = now + jitteredSpan(interests.empty() ? localPeriod : abroad);
            if (asksAll) { // Finds a data centre that is unknown here, and neighbours that only others know.
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
