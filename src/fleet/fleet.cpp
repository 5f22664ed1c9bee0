/** @file fleet.cpp Fleet membership of a daemon: start and stop, timer, and publication of the view. */

#include "fleet/fleet_state.h"

#include "core/log_func.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadamux
{

using namespace detail;

namespace detail
{
clock_ms jitteredSpan(clock_ms span)
{
    return {(span.count / 2) + static_cast<std::int64_t>(threadRandom() % static_cast<std::uint64_t>(span.count + 1))};
}
} // namespace detail

namespace
{
member_record selfRecord(const daemon_settings &settings, incarnation_id incarnation)
{
    member_record record;
    record.host = settings.host;
    record.dataCenter = settings.dataCenter;
    record.peerAddress = settings.peerAddress;
    record.incarnation = incarnation;
    return record;
}
} // namespace

bool fleet::state::effects::empty() const
{
    return datagrams.empty() && exchanges.empty() && announced.empty() && digestMismatches.empty() && !viewChanged;
}

fleet::state::state(
    boost::asio::io_context &context, const daemon_settings &daemonSettings, incarnation_id incarnation, object_store *platformClient, fleet_hooks fleetHooks)
    : settings(daemonSettings)
    , hooks(std::move(fleetHooks))
    , platform(platformClient)
    , strand(boost::asio::make_strand(context))
    , socket(strand)
    , timer(strand)
    , table(daemonSettings.membership, selfRecord(daemonSettings, incarnation), tableHooks(), threadRandom)
    , config([this](const std::shared_ptr<const policy_set> &policies) {
        policyChanged(policies);
    })
    , seeds(daemonSettings.dataCenter, threadRandom)
{
    table.addSeeds(settings.seeds);
}

member_hooks fleet::state::tableHooks()
{
    member_hooks result;
    result.send = [this](std::string_view address, std::string datagram) {
        pending.datagrams.emplace_back(address, std::move(datagram));
    };
    result.viewChanged = [this] {
        pending.viewChanged = true;
    };
    result.exchange = [this](std::string_view address) {
        pending.exchanges.emplace_back(address);
    };
    result.digestDiffers = [this](std::string_view /*host*/, std::string_view address, std::uint64_t /*digest*/) {
        pending.digestMismatches.emplace_back(address);
    };
    result.changeAnnounced = [this](std::string_view address, const change_announcement &change) {
        pending.announced.emplace_back(address, change);
    };
    return result;
}

void fleet::state::withTable(const std::function<void(member_table &)> &work)
{
    effects requested;
    {
        const std::lock_guard lock(tableMutex);
        work(table);
        requested = std::exchange(pending, {});
    }
    if (!requested.empty()) {
        boost::asio::post(strand, [self = shared_from_this(), requested = std::move(requested)] {
            self->perform(requested);
        });
    }
}

void fleet::state::perform(const effects &requested)
{
    if (isStopped) {
        return;
    }
    for (const auto &[address, bytes] : requested.datagrams) {
        sendDatagram(address, bytes);
    }
    for (const std::string &address : requested.exchanges) {
        if (hasAllMembers) {
            compareMembers(address, settings.dataCenter, {});
        } else {
            requestFullExchange(address);
        }
    }
    std::map<std::string, std::vector<object_generation>> announced;
    for (const auto &[address, change] : requested.announced) {
        announced[address].push_back({change.kind, change.name, change.generation, change.operation});
    }
    for (const auto &[address, changes] : announced) {
        pullNamed(address, config.objectsToPull(changes));
    }
    for (const std::string &address : requested.digestMismatches) {
        configurationDiffers(address);
    }
    if (requested.viewChanged) {
        isViewDue = true;
        publishView();
    }
}

void fleet::state::start()
{
    const clock_ms now = steadyNow();
    dutiesAllowedAt = now + jitteredSpan(joinTimeout);
    nextLocalComparison = now + jitteredSpan(localComparisonPeriod);
    nextInterestComparison = now + jitteredSpan(minInterestPeriod);
    if (platform != nullptr) {
        const auto offer = [this](std::span<const stored_object> objects) {
            offerObjects(objects);
        };
        for (const std::string_view kind : {rankTableKind, servicePolicyKind}) {
            watches.push_back(std::make_shared<policy_watch>(std::string(kind), settings.platformWatch, offer, threadRandom));
        }
    }
    boost::asio::post(strand, [self = shared_from_this()] {
        self->isViewDue = true;
        self->publishView();
        self->receive();
        if (!self->settings.seeds.empty()) {
            self->requestFullExchange(self->settings.seeds[threadRandom() % self->settings.seeds.size()]);
        }
        self->scheduleTick();
    });
}

void fleet::state::scheduleTick()
{
    timer.expires_after(std::chrono::milliseconds(tickPeriod.count));
    timer.async_wait([self = shared_from_this()](const boost::system::error_code &failure) {
        if (!failure && !self->isStopped) {
            self->tick();
            self->scheduleTick();
        }
    });
}

void fleet::state::tick()
{
    const clock_ms now = steadyNow();
    withTable([now](member_table &members) {
        members.tick(now);
    });
    tickComparisons(now);
    if (now >= nextDutyCheck) {
        nextDutyCheck = now + dutyCheckPeriod;
        tickDuties(now);
    }
    publishView();
}

void fleet::state::publishView()
{
    const clock_ms now = steadyNow();
    if (!isViewDue || now < nextViewPublication) {
        return;
    }
    isViewDue = false;
    std::shared_ptr<const std::vector<member_record>> view;
    {
        const std::lock_guard lock(tableMutex);
        view = std::make_shared<const std::vector<member_record>>(table.view());
    }
    constexpr std::int64_t microsecondsInMillisecond = 1'000;
    const auto size = static_cast<std::int64_t>(view->size());
    nextViewPublication = now + std::max(minViewInterval, clock_ms{size * viewIntervalMicrosecondsPerMember / microsecondsInMillisecond});
    published.publish(view);
    callHook([&] {
        if (hooks.viewChanged) {
            hooks.viewChanged(view);
        }
    });
}

void fleet::state::setServer(std::string_view service, server_state server, std::uint32_t slots)
{
    withTable([&](member_table &members) {
        members.updateSelf(
            [&](member_record &record) {
                const bool startsServing = server == server_state::serving && (record.server != server_state::serving || record.service != service);
                if (startsServing || server != server_state::serving) {
                    record.servingFor = clock_ms{};
                }
                record.service = server == server_state::absent ? std::string() : std::string(service);
                record.server = server;
                record.slots = slots;
            },
            steadyNow());
    });
}

void fleet::state::leave()
{
    logEvent(log_level::info, "fleet_leaving", {});
    withTable([](member_table &members) {
        members.updateSelf(
            [](member_record &record) {
                record.state = member_state::leaving;
            },
            steadyNow());
    });
}

void fleet::state::stop()
{
    {
        const std::lock_guard lock(hookMutex);
        if (isStopped.exchange(true)) {
            return;
        }
    }
    sendDeparture();
    boost::asio::post(strand, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->timer.cancel();
        self->socket.close(ignored);
    });
}

fleet::fleet(boost::asio::io_context &context, const daemon_settings &settings, incarnation_id incarnation, object_store *platform, fleet_hooks hooks)
    : m_state(std::make_shared<state>(context, settings, incarnation, platform, std::move(hooks)))
{
    m_state->bind();
}

fleet::~fleet()
{
    stop();
}

void fleet::start()
{
    m_state->start();
}

void fleet::setServer(std::string_view service, server_state state, std::uint32_t slots)
{
    m_state->setServer(service, state, slots);
}

void fleet::leave()
{
    m_state->leave();
}

void fleet::stop()
{
    m_state->stop();
}

exchange_reply fleet::answerExchange(const exchange_request &request)
{
    return m_state->answer(request);
}

std::shared_ptr<const std::vector<member_record>> fleet::view() const
{
    return m_state->published.load();
}

configuration &fleet::config()
{
    return m_state->config;
}

fleet_counters fleet::counters() const
{
    fleet_counters result;
    result.gossipBytesSent = m_state->bytesSent;
    result.gossipBytesReceived = m_state->bytesReceived;
    result.exchanges = m_state->exchanges;
    result.exchangeBytesSent = m_state->exchangeBytesSent;
    result.exchangeBytesReceived = m_state->exchangeBytesReceived;
    result.platformCalls = m_state->platformCalls;
    result.staleOffers = m_state->config.counters().stale;
    return result;
}

} // namespace cicadamux
