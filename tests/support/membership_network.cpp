/** @file membership_network.cpp Simulates a network of member tables in virtual time, with network faults. */

#include "support/membership_network_base.h"

#include "membership/member_wire_func.h"

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms step{10};
constexpr clock_ms tickPeriod{50};
constexpr clock_ms remotePeriod{1'000};
constexpr clock_ms localPeriod{5'000};
constexpr std::int64_t maxLateness = 20'000; // Milliseconds.

std::string describe(const std::string &host, const std::string &otherHost, const std::optional<member_record> &held, bool isRunning)
{
    std::string text = host;
    text += isRunning ? " lists the running " : " lists the stopped ";
    text += otherHost;
    text += held ? " in state " + std::to_string(static_cast<int>(held->state)) : " as unknown or dead";
    text += held ? " at revision " + std::to_string(held->revision) : "";
    return text;
}
} // namespace

gossip_network::gossip_network(std::uint64_t seed)
    : m_engine(seed)
{
}

network_node &gossip_network::start(const std::string &host, const std::string &dataCenter)
{
    network_node &node = nodes[host];
    node.host = host;
    node.dataCenter = dataCenter;
    node.isRunning = true;
    node.pausedUntil = now;
    node.nextTick = now + clock_ms{static_cast<std::int64_t>(m_engine() % 50)};
    node.nextComparison = node.nextTick;
    ++node.starts;
    node.hasJoined = false;
    member_record self;
    self.host = host;
    self.dataCenter = dataCenter;
    self.peerAddress = host;
    self.incarnation.value = static_cast<std::uint64_t>(now.count);
    member_hooks hooks;
    hooks.send = [this, host](std::string_view to, const std::string &bytes) {
        send(host, to, bytes);
    };
    hooks.exchange = [this, host](std::string_view to) {
        m_queue.emplace(now + step, datagram{host, std::string(to), {}});
    };
    hooks.changeAnnounced = [this, &node](std::string_view, const change_announcement &change) {
        if (onChangeAnnounced) {
            onChangeAnnounced(node, change);
        }
    };
    node.table = std::make_unique<member_table>(settings, self, hooks, [engine = std::make_shared<std::mt19937_64>(m_engine())] {
        return (*engine)();
    });
    const std::vector<std::string> seeds{nodes.begin()->first};
    node.table->addSeeds(seeds);
    return node;
}

void gossip_network::startMany(const std::string &prefix, std::size_t count, const std::string &dataCenter)
{
    for (std::size_t number = 0; number < count; ++number) {
        start(prefix + std::to_string(number), dataCenter);
    }
}

void gossip_network::kill(const std::string &host)
{
    nodes.at(host).isRunning = false;
}

void gossip_network::pause(const std::string &host, clock_ms span)
{
    nodes.at(host).pausedUntil = now + span;
}

bool gossip_network::isReady(const network_node &node) const
{
    return node.isRunning && node.pausedUntil <= now;
}

double gossip_network::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_engine);
}

void gossip_network::send(const std::string &from, std::string_view to, const std::string &bytes)
{
    nodes.at(from).bytesSent += bytes.size();
    ++nodes.at(from).datagramsSent;
    if ((canReach && !canReach(from, std::string(to))) || randomFraction() < faults.loss) {
        return;
    }
    if (randomFraction() < faults.lateDuplication) {
        m_queue.emplace(now + clock_ms{static_cast<std::int64_t>(m_engine() % maxLateness)}, datagram{from, std::string(to), bytes});
    }
    const int copies = randomFraction() < faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const clock_ms delay{1 + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(faults.delay))};
        m_queue.emplace(now + delay, datagram{from, std::string(to), bytes});
    }
}

std::uint64_t gossip_network::sizeOf(const std::vector<member_record> &records) const
{
    constexpr std::uint64_t overhead = 200; // Addresses, digests and framing of a gRPC message.
    std::uint64_t bytes = overhead;
    for (const member_record &record : records) {
        wire::Member message;
        detail::writeMember(record, message);
        bytes += message.ByteSizeLong() + 2;
    }
    return bytes;
}

bool gossip_network::isConnected(const std::string &host, const std::string &peer) const
{
    return !canReach || (canReach(host, peer) && canReach(peer, host));
}

void gossip_network::exchange(const std::string &from, const std::string &to)
{
    const auto found = nodes.find(to);
    if (found == nodes.end() || !isReady(found->second) || !isReady(nodes.at(from)) || !isConnected(from, to)) {
        return;
    }
    network_node &node = nodes.at(from);
    if (node.hasJoined) {
        compareWith(node, to, node.dataCenter);
        return;
    }
    node.hasJoined = found->second.dataCenter == node.dataCenter;
    const std::vector<member_record> own{node.table->self()};
    found->second.table->merge(own, now);
    const std::vector<member_record> records = found->second.table->records();
    node.comparisonBytesSent += sizeOf(own);
    found->second.comparisonBytesSent += sizeOf(records);
    node.table->merge(records, now);
}

void gossip_network::compareDigests(network_node &node)
{
    std::vector<std::string> others = node.table->dataCenters();
    std::erase(others, node.dataCenter);
    compareWith(node, node.table->randomPeer(node.dataCenter), node.dataCenter);
    if (node.table->holdsDuty(digestDuty, digestHolders)) {
        for (const std::string &other : others) {
            compareWith(node, node.table->randomPeer(other), other);
        }
    }
    if (settings.interests.empty()) {
        const bool asksAll = others.empty() || m_engine() % 4 == 0;
        const std::string &other = others.empty() ? node.dataCenter : others[m_engine() % others.size()];
        compareWith(node, node.table->randomPeer(asksAll ? other : node.dataCenter), asksAll ? std::string() : other);
    } else if (!others.empty()) {
        const std::string &other = others[m_engine() % others.size()];
        compareWith(node, node.table->randomPeer(other), other);
    }
}

void gossip_network::compareWith(network_node &node, const std::string &peer, const std::string &dataCenter)
{
    const auto found = nodes.find(peer);
    if (found == nodes.end() || !isReady(found->second) || !isConnected(node.host, peer)) {
        return;
    }
    const bool takesAll = dataCenter == node.dataCenter || node.table->holdsDuty(digestDuty, digestHolders);
    const member_filter filter{dataCenter, takesAll ? std::vector<std::string>{} : settings.interests};
    const auto own = node.table->digests(filter, memberBuckets);
    const auto theirs = found->second.table->digests(filter, memberBuckets);
    std::uint64_t buckets = 0;
    for (std::size_t bucket = 0; bucket < memberBuckets; ++bucket) {
        buckets |= std::uint64_t{own[bucket] != theirs[bucket]} << bucket;
    }
    const auto records = found->second.table->recordsOf(filter, buckets);
    const std::vector<member_record> self{node.table->self()};
    found->second.table->merge(self, now);
    node.comparisonBytesSent += sizeOf(self) + (buckets != 0 ? memberBuckets * sizeof(std::uint64_t) : 0);
    found->second.comparisonBytesSent += sizeOf(records);
    if (dataCenter != node.dataCenter && found->second.dataCenter == dataCenter) {
        node.table->mergeAuthoritative(filter, buckets, records, now);
    } else {
        node.table->merge(records, now);
    }
}

void gossip_network::deliver()
{
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const datagram next = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        const auto found = nodes.find(next.to);
        if (found == nodes.end() || !found->second.isRunning) {
            continue;
        }
        if (!isReady(found->second)) {
            m_queue.emplace(found->second.pausedUntil, next);
        } else if (next.bytes.empty()) {
            exchange(next.from, next.to);
        } else {
            found->second.table->receive(next.from, next.bytes, now);
        }
    }
}

void gossip_network::run(clock_ms span)
{
    for (const clock_ms end = now + span; now < end; now += step) {
        deliver();
        for (auto &[host, node] : nodes) {
            if (isReady(node) && node.nextTick <= now) {
                node.nextTick = now + tickPeriod;
                node.table->tick(now);
            }
            if (comparesDigests && isReady(node) && node.nextComparison <= now) {
                node.nextComparison = now + (node.table->holdsDuty(digestDuty, digestHolders) ? remotePeriod : localPeriod);
                compareDigests(node);
            }
        }
    }
}

std::string gossip_network::difference() const
{
    for (const auto &[host, node] : nodes) {
        for (const auto &[otherHost, other] : nodes) {
            const auto held = recordHeldBy(node, otherHost);
            if (!node.isRunning || (!held && !other.isRunning)) {
                continue;
            }
            member_record truth = other.table->self();
            if (held) {
                truth.servingFor = held->servingFor;
            }
            if (!held || !other.isRunning || *held != truth) {
                return describe(host, otherHost, held, other.isRunning);
            }
        }
    }
    return {};
}

std::size_t gossip_network::count(const std::function<bool(const network_node &)> &predicate) const
{
    return static_cast<std::size_t>(std::ranges::count_if(nodes, [&](const auto &item) {
        return item.second.isRunning && predicate(item.second);
    }));
}

std::optional<member_record> recordHeldBy(const network_node &by, const std::string &host)
{
    for (const member_record &record : by.table->view()) {
        if (record.host == host) {
            return record;
        }
    }
    return std::nullopt;
}

} // namespace cicadamux::test
