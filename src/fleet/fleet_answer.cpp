/** @file fleet_answer.cpp Fleet membership of a daemon: answering exchanges. */

#include "fleet/fleet_state.h"
#include "peer/peer_codec_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadamux
{

using namespace detail;

exchange_reply fleet::state::answer(const exchange_request &request)
{
    exchange_reply reply;
    reply.dataCenter = settings.dataCenter;
    if (isStopped) {
        return reply;
    }
    exchangeBytesReceived += encodeExchange(request).ByteSizeLong();
    answerMembers(request, reply);
    answerConfiguration(request, reply);
    exchangeBytesSent += encodeExchangeReply(reply).ByteSizeLong();
    return reply;
}

void fleet::state::answerMembers(const exchange_request &request, exchange_reply &reply)
{
    withTable([&](member_table &members) {
        members.merge(request.members, steadyNow());
        if (request.scope == exchange_scope::full) {
            reply.members = request.filter.services.empty() ? members.records() : members.recordsOf(request.filter, ~std::uint64_t{0});
            if (!request.filter.services.empty()) {
                const auto neighbours = members.recordsOf({request.senderDataCenter, {}}, ~std::uint64_t{0});
                reply.members.insert(reply.members.end(), neighbours.begin(), neighbours.end());
            }
            return;
        }
        const std::size_t parts = request.memberDigests.size();
        if (parts != 1 && parts != memberBuckets) {
            return;
        }
        const std::vector<std::uint64_t> own = members.digests(request.filter, parts);
        if (parts == 1) {
            reply.membersDiffer = own != request.memberDigests;
            return;
        }
        for (std::size_t bucket = 0; bucket < parts; ++bucket) {
            reply.memberBuckets |= std::uint64_t{own[bucket] != request.memberDigests[bucket]} << bucket;
        }
        reply.members = members.recordsOf(request.filter, reply.memberBuckets);
    });
}

void fleet::state::answerConfiguration(const exchange_request &request, exchange_reply &reply)
{
    switch (request.scope) {
    case exchange_scope::compare:
        reply.configurationDiffers = request.configurationDigest != config.digest();
        return;
    case exchange_scope::named:
        reply.newer = config.newerAmong(request.generations);
        return;
    case exchange_scope::full:
    case exchange_scope::configuration:
        break;
    }
    reply.newer = config.newerThan(request.generations, maxObjectsInReply);
    reply.isTruncated = reply.newer.size() == maxObjectsInReply;
    reply.wanted = config.objectsToPull(request.generations);
    if (!reply.wanted.empty()) {
        std::vector<object_generation> requested = reply.wanted;
        requested.resize(std::min(requested.size(), maxObjectsInReply));
        boost::asio::post(strand, [self = shared_from_this(), address = request.senderAddress, requested = std::move(requested)] {
            self->pullNamed(address, requested);
        });
    }
}

} // namespace cicadamux
