/** @file fleet_state.h State of fleet; only for its implementation files. */

#pragma once

#include "core/rcu_type.h"
#include "fleet/fleet_base.h"
#include "fleet/policy_watch_base.h"
#include "fleet/seed_directory_base.h"
#include "membership/member_table_base.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace cicadamux
{

namespace detail
{
constexpr clock_ms tickPeriod{50}; ///< Interval between two ticks of the member table.
constexpr clock_ms dutyCheckPeriod{200}; ///< Interval between two checks of the duties.
constexpr clock_ms remoteComparisonPeriod{1'000}; ///< Interval at which a duty holder compares with each other data centre; jittered.
constexpr clock_ms localComparisonPeriod{5'000}; ///< Interval between two comparisons with a member of the same data centre; jittered.
constexpr clock_ms minInterestPeriod{10'000}; ///< Minimum interval at which a daemon with interests compares with another data centre; jittered.
constexpr std::uint64_t comparisonsPerFullComparison = 4; ///< On average, one of this many comparisons of other data centres covers all data centres.
constexpr std::int64_t interestPeriodMsPerMember = 500; ///< The interval of a daemon with interests is this for each member of the view, if that is longer.
constexpr clock_ms minPullInterval{2'000}; ///< Minimum interval between two pulls of differing configuration; jittered; grows with its size.
constexpr std::size_t objectsPerPullInterval = 100; ///< The pull interval grows by its base value for each this many objects.
constexpr clock_ms emptyPullInterval{200}; ///< Pull interval while this daemon has no configuration.
constexpr clock_ms configurationSettleTime{1'000}; ///< Differing digests are ignored for this time after a change of this daemon's configuration.
constexpr clock_ms namedPullTimeout{500}; ///< Time after which an announced change may be requested from another announcer.
constexpr clock_ms joinTimeout{1'500}; ///< A daemon that no peer has answered takes on duties after this time; jittered.
constexpr clock_ms minViewInterval{50}; ///< Minimum interval between two publications of the view.
constexpr std::int64_t viewIntervalMicrosecondsPerMember = 20; ///< The interval grows to this for each member of the view, if that is longer.
constexpr std::size_t maxObjectsInReply = 64;
constexpr std::size_t maxExchanges = 16; ///< Exchanges in progress at a time.
constexpr std::size_t maxPendingPulls = 1'024; ///< Announced changes being requested.
constexpr std::size_t maxAnnouncedChanges = 16; ///< Larger sets of changes are not announced; digest comparisons find them.
constexpr std::size_t receiveBufferBytes = 65'536; ///< Maximum size of a UDP datagram.
constexpr std::string_view watchDuty = "watch"; ///< Duty of watching the policies in the platform.
constexpr std::string_view seedsDuty = "seeds"; ///< Duty of maintaining the seed_list object of the data centre.
constexpr std::size_t watchHolders = 2; ///< Number of holders of `watchDuty` in each data centre.
constexpr std::size_t seedsHolders = 2; ///< Number of holders of `seedsDuty` in each data centre.
} // namespace detail

struct fleet::state : std::enable_shared_from_this<fleet::state> {
    /** Actions that the table requested through its hooks while it was locked. */
    struct effects {
        std::vector<std::pair<std::string, std::string>> datagrams; ///< Address and bytes.
        std::vector<std::string> exchanges;
        std::vector<std::pair<std::string, change_announcement>> announced;
        std::vector<std::string> digestMismatches; ///< Addresses.
        bool viewChanged = false;

        bool empty() const;
    };

    state(boost::asio::io_context &context,
          const daemon_settings &daemonSettings,
          incarnation_id incarnation,
          object_store *platformClient,
          fleet_hooks fleetHooks);

    // fleet.cpp: start and stop, timer, and publication of the view
    void bind();
    void start();
    void tick();
    void scheduleTick();
    void publishView();
    void setServer(std::string_view service, server_state server, std::uint32_t slots);
    void leave();
    void stop();
    member_hooks tableHooks();
    void withTable(const std::function<void(member_table &)> &work);
    void perform(const effects &requested);
    template<typename Call>
    void callHook(Call call)
    {
        const std::lock_guard lock(hookMutex);
        if (!isStopped) {
            call();
        }
    }

    // fleet_socket.cpp: the UDP socket
    void receive();
    void sendDatagram(const std::string &address, const std::string &bytes);
    void sendDeparture();

    // fleet_exchange.cpp: starting exchanges
    exchange_request newRequest(exchange_scope scope);
    void startExchange(const std::string &address, exchange_request request);
    void handleReply(const std::string &address, const exchange_request &request, const exchange_reply &reply);
    void mergeMembers(const std::string &address, const exchange_request &request, const exchange_reply &reply);
    void requestFullExchange(const std::string &address);
    void compareMembers(const std::string &address, const std::string &dataCenter, const std::vector<std::string> &services);
    void pullConfiguration(const std::string &address);
    void pullNamed(const std::string &address, const std::vector<object_generation> &requested);
    void configurationDiffers(const std::string &address);
    void tickComparisons(clock_ms now);

    // fleet_answer.cpp: answering exchanges
    exchange_reply answer(const exchange_request &request);
    void answerMembers(const exchange_request &request, exchange_reply &reply);
    void answerConfiguration(const exchange_request &request, exchange_reply &reply);

    // fleet_configuration.cpp: announcing changes, and the duties at the platform
    void policyChanged(const std::shared_ptr<const policy_set> &policies);
    void announceChanges();
    void tickDuties(clock_ms now);
    void stepWatch(const std::shared_ptr<detail::policy_watch> &watch, bool holdsDuty, clock_ms now);
    void offerObjects(std::span<const stored_object> objects);
    void stepSeeds(bool isAlone, bool holdsDuty, clock_ms now);
    void seedsListed(const store_result<store_changes> &result, bool holdsDuty);

    const daemon_settings settings;
    fleet_hooks hooks;
    object_store *platform;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, detail::receiveBufferBytes> buffer{};
    boost::asio::ip::udp::endpoint sender;

    std::recursive_mutex hookMutex; ///< Held while a hook runs, so that stop() can wait for the hook to return.
    std::atomic<bool> isStopped{false};

    std::mutex tableMutex; ///< Guards `table` and `pending`.
    member_table table;
    effects pending;

    configuration config;
    rcu_snapshot<std::vector<member_record>> published;

    // The following members are accessed on the strand only.
    std::set<std::string> exchangesInProgress; ///< Addresses with an exchange in progress.
    std::map<std::pair<std::string, std::string>, std::pair<change_announcement, clock_ms>> pendingPulls; ///< By kind and name: change and time-out.
    std::map<std::string, clock_ms> nextRemoteComparison; ///< Next comparison of a duty holder, by data centre.
    std::map<std::pair<std::string, std::string>, object_generation> announcedGenerations; ///< By kind and name.
    std::vector<std::shared_ptr<detail::policy_watch>> watches;
    detail::seed_directory seeds;
    clock_ms nextLocalComparison;
    clock_ms nextInterestComparison; ///< Next comparison of members of other data centres that is not part of the duty.
    clock_ms nextDutyCheck;
    clock_ms nextPull;
    clock_ms configurationChangedAt;
    clock_ms nextViewPublication;
    clock_ms dutiesAllowedAt; ///< No duties before this time unless a neighbour has answered.
    bool isViewDue = false;
    bool hasJoined = false; ///< A neighbour has answered, or none did within joinTimeout: the daemon may take on duties.
    bool hasAllMembers = false; ///< A neighbour has sent all its records; from then on only differences are requested.
    std::atomic<bool> isAnnouncePosted{false};

    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> exchanges{0};
    std::atomic<std::uint64_t> exchangeBytesSent{0};
    std::atomic<std::uint64_t> exchangeBytesReceived{0};
    std::atomic<std::uint64_t> platformCalls{0};
};

namespace detail
{
/** @return A random span between 0.5 and 1.5 times the given one. */
clock_ms jitteredSpan(clock_ms span);
} // namespace detail

} // namespace cicadamux
