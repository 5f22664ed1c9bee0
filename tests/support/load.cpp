/** @file load.cpp An open-loop load generator. */

#include "support/load_base.h"

#include "support/load_request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>
#include <thread>

namespace cicadamux::test
{

using detail::load_clock;
using detail::load_outcome;
using detail::load_request;
using detail::load_request_pointer;

namespace
{
constexpr std::chrono::milliseconds sendStep{1}; ///< Requests whose arrival falls into one step are sent together.
constexpr std::size_t maxIds = 300'000; ///< Ids recorded for each label and thread.

/** One thread's share of the load. */
class load_thread
{
public:
    load_thread(const load_options &options, std::uint32_t number)
        : m_options(options)
        , m_number(number)
        , m_random(number + 1)
        , m_client(m_context)
        , m_timer(m_context)
        , m_start(load_clock::now())
        , m_end(m_start + std::chrono::milliseconds(options.duration.count))
    {
        for (const load_operation &operation : options.operations) {
            m_nextArrival.push_back(m_start + interval(operation));
        }
    }

    void run()
    {
        step();
        m_context.run();
    }

    const std::map<std::string, load_count> &counts() const
    {
        return m_counts;
    }

private:
    load_clock::duration interval(const load_operation &operation)
    {
        std::exponential_distribution<double> gap(operation.perSecond / m_options.threads);
        return std::chrono::duration_cast<load_clock::duration>(std::chrono::duration<double>(gap(m_random)));
    }

    void step();
    void send(const load_operation &operation, load_clock::time_point arrival);
    void onEnded(const load_request &request);
    void countAnswered(const load_request &request, load_count &count);

    const load_options &m_options;
    std::uint32_t m_number;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context{1};
    http_client m_client;
    boost::asio::steady_timer m_timer;
    load_clock::time_point m_start;
    load_clock::time_point m_end;
    std::vector<load_clock::time_point> m_nextArrival; ///< By operation.
    std::map<std::string, load_count> m_counts;
    std::size_t m_inFlight = 0;
    std::uint64_t m_sent = 0;
};

void load_thread::step()
{
    const auto now = load_clock::now();
    for (std::size_t index = 0; index < m_options.operations.size(); ++index) {
        const load_operation &operation = m_options.operations[index];
        while (operation.perSecond > 0 && m_nextArrival[index] <= now && m_nextArrival[index] < m_end) {
            send(operation, m_nextArrival[index]);
            m_nextArrival[index] += interval(operation);
        }
    }
    if (now >= m_end) {
        return;
    }
    m_timer.expires_after(sendStep);
    m_timer.async_wait([this](boost::system::error_code) {
        step();
    });
}

void load_thread::send(const load_operation &operation, load_clock::time_point arrival)
{
    load_count &count = m_counts[operation.label];
    ++count.tried;
    if (m_inFlight >= m_options.maxInFlight) {
        ++count.notSent;
        return;
    }
    ++m_inFlight;
    auto request = std::make_shared<load_request>();
    request->operation = &operation;
    request->id = m_options.idPrefix + std::to_string(m_number) + "-" + std::to_string(++m_sent);
    const auto &addresses = m_options.entries.at(operation.service);
    request->address = addresses[m_sent % addresses.size()];
    request->arrival = arrival;
    if (operation.atMostOnce && count.sentIds.size() < maxIds) {
        count.sentIds.push_back(request->id);
    }
    detail::sendLoadRequest(m_client, request, m_options.useTickets, [this](const load_request_pointer &sent) {
        onEnded(*sent);
    });
}

void load_thread::onEnded(const load_request &request)
{
    --m_inFlight;
    load_count &count = m_counts[request.operation->label];
    count.attempts += request.attempts;
    if (request.outcome == load_outcome::answered) {
        countAnswered(request, count);
        return;
    }
    ++count.reasons[request.reason];
    if (request.outcome == load_outcome::wrong_answer) {
        ++count.wrongAnswers;
    } else if (request.outcome == load_outcome::failed) {
        ++count.failed;
    } else if (request.outcome == load_outcome::not_run && !request.mayHaveRun) {
        ++count.notRun;
        if (count.notRunIds.size() < maxIds) {
            count.notRunIds.push_back(request.id);
        }
    } else {
        ++count.unknown;
    }
}

void load_thread::countAnswered(const load_request &request, load_count &count)
{
    const double elapsed = detail::elapsedMs(request);
    if (elapsed > static_cast<double>(request.operation->deadline.count)) {
        ++count.late;
        return;
    }
    ++count.good;
    count.latencies.push_back(static_cast<float>(elapsed));
    const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(load_clock::now() - m_start).count();
    const auto index = static_cast<std::size_t>(sinceStart / m_options.seriesStep.count);
    count.series.resize(std::max(count.series.size(), index + 1));
    ++count.series[index];
}
} // namespace

struct load_run::state {
    explicit state(load_options chosen)
        : options(std::move(chosen))
    {
        for (std::uint32_t number = 0; number < options.threads; ++number) {
            parts.push_back(std::make_unique<load_thread>(options, number));
        }
        for (const auto &part : parts) {
            threads.emplace_back([&part] {
                part->run();
            });
        }
    }

    load_options options;
    std::vector<std::unique_ptr<load_thread>> parts;
    std::vector<std::thread> threads;
};

load_run::load_run(load_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
}

load_run::~load_run()
{
    finish();
}

load_result load_run::finish()
{
    load_result result;
    for (std::thread &thread : m_state->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    constexpr double second = 1'000;
    result.seconds = static_cast<double>(m_state->options.duration.count) / second;
    for (const auto &part : m_state->parts) {
        for (const auto &[label, count] : part->counts()) {
            result.byLabel[label].add(count);
        }
    }
    return result;
}

} // namespace cicadamux::test
