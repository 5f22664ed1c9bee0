/** @file seed_directory.cpp Schedules reads and writes of the `seed_list` objects in the platform. */

#include "fleet/seed_directory_base.h"

#include "core/log_func.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxAddresses = 64; ///< Maximum number of addresses read from one object.
constexpr std::size_t maxWrittenAddresses = 16; ///< Maximum number of addresses written to one object.
constexpr clock_ms configuredSeedsTimeout{500}; ///< Time for the seeds from the settings to answer before the first read; jittered.
constexpr clock_ms aloneReadBackoff{1'000}; ///< Wait between two reads while no peer is known; doubles with each read; jittered.
constexpr std::uint32_t maxDoublings = 4;
constexpr clock_ms firstDutyReadDelay{4'000}; ///< Delay from the start to the first read of a duty holder; jittered.
constexpr clock_ms dutyReadPeriod{60'000}; ///< Interval between two reads of a duty holder; jittered.
} // namespace

std::optional<std::vector<std::string>> parseSeedList(std::string_view json)
{
    boost::system::error_code failure;
    const boost::json::value value = boost::json::parse(json, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    const boost::json::value *addresses = value.as_object().if_contains("addresses");
    if (addresses == nullptr || !addresses->is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> result;
    for (const boost::json::value &address : addresses->as_array()) {
        if (address.is_string() && result.size() < maxAddresses) {
            result.emplace_back(address.as_string());
        }
    }
    return result;
}

std::string formatSeedList(std::span<const std::string> addresses)
{
    boost::json::array list;
    for (const std::string &address : addresses) {
        list.emplace_back(address);
    }
    return boost::json::serialize(boost::json::object{{"addresses", std::move(list)}});
}

seed_directory::seed_directory(std::string dataCenter, random_source random)
    : m_dataCenter(std::move(dataCenter))
    , m_random(std::move(random))
{
}

clock_ms seed_directory::jittered(clock_ms span) const
{
    return {(span.count / 2) + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(span.count + 1))};
}

bool seed_directory::isListDue(bool isAlone, bool holdsDuty, clock_ms now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_nextReadAlone = now + jittered(configuredSeedsTimeout);
        m_nextDutyRead = now + jittered(firstDutyReadDelay);
    }
    if (!isAlone) {
        m_readsWhileAlone = 0;
    }
    const bool isDue = (isAlone && now >= m_nextReadAlone) || (holdsDuty && now >= m_nextDutyRead);
    if (m_isListPending || !isDue) {
        return false;
    }
    m_isListPending = true;
    return true;
}

std::vector<std::string> seed_directory::finished(const store_result<store_changes> &result, clock_ms now)
{
    m_isListPending = false;
    const std::uint32_t doublings = std::min(m_readsWhileAlone, maxDoublings);
    ++m_readsWhileAlone;
    m_nextReadAlone = now + jittered({aloneReadBackoff.count << doublings});
    m_nextDutyRead = now + jittered(dutyReadPeriod);
    std::vector<std::string> addresses;
    if (result.failure != store_failure::none) {
        return addresses;
    }
    m_storedAddresses.clear();
    m_version = 0;
    for (const stored_object &object : result.value.items) {
        const auto seeds = parseSeedList(object.value);
        if (!seeds) {
            logEvent(log_level::warning, "seed_list_invalid", {{"name", object.name}, {"version", object.version}});
        }
        if (object.name == m_dataCenter) {
            m_storedAddresses = seeds.value_or(std::vector<std::string>{});
            m_version = object.version;
        }
        if (seeds) {
            addresses.insert(addresses.end(), seeds->begin(), seeds->end());
        }
    }
    return addresses;
}

std::optional<seed_write> seed_directory::writeAfterList(std::span<const std::string> alive) const
{
    const auto aliveCount = static_cast<std::size_t>(std::ranges::count_if(m_storedAddresses, [&](const std::string &address) {
        return std::ranges::find(alive, address) != alive.end();
    }));
    const std::size_t wantedCount = std::min(maxWrittenAddresses, alive.size());
    if (aliveCount * 2 >= wantedCount && aliveCount * 2 >= m_storedAddresses.size()) {
        return std::nullopt;
    }
    std::vector<std::string> chosen(alive.begin(), alive.end());
    for (std::size_t rest = chosen.size(); rest > 1; --rest) {
        std::swap(chosen[rest - 1], chosen[m_random() % rest]);
    }
    chosen.resize(wantedCount);
    return seed_write{formatSeedList(chosen), m_version};
}

} // namespace cicadamux::detail
