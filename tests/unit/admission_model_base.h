/** @file admission_model_base.h Simulation of a gate and its backend server in virtual time. */

#pragma once

#include "admission/gate_base.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace cicadamux::test
{

/** A stream of calls with exponentially distributed interarrival times. */
struct arrival_stream {
    std::uint8_t rank = 0;
    bool isProtected = false;
    std::string callClass;
    double rate = 0; ///< Calls per millisecond; may be changed during a run.
    std::int64_t deadline = 1'000; ///< Milliseconds after the arrival.
    bool lateOk = false;
    std::uint8_t depth = 0;
};

/** Counts of a stream's calls by outcome, since the last reset. */
struct stream_count {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0; ///< Answered in time, or late-ok.
    std::uint64_t late = 0; ///< Answered after their deadline, or failed.
    std::uint64_t refused = 0;
    std::int64_t waited = 0; ///< Total queueing time of admitted calls, in milliseconds.
    std::int64_t longestWait = 0; ///< Longest queueing time of an admitted call, in milliseconds.
};

/** Behaviour of the backend server; may be changed during a run. */
struct server_model {
    std::uint32_t slots = 40; ///< Calls processed concurrently; further calls queue in the backend server.
    double serviceTime = 10; ///< Mean in milliseconds; uniformly distributed from 0.5 to 1.5 times the mean.
    double slowness = 1; ///< Factor on the service time of calls that start from now on.
    double failureProbability = 0; ///< Of each call.
    bool shedsExcess = false; ///< Whether calls without a free slot are shed instead of queued.
};

/** Simulates a gate with one backend server in virtual time. */
class gate_model
{
public:
    gate_model(const gate_settings &settings, std::uint64_t seed)
        : subject(settings)
        , m_random(seed)
    {
    }

    std::size_t addStream(const arrival_stream &stream)
    {
        streams.push_back(stream);
        counts.emplace_back();
        schedule(m_now, event_kind::arrival, streams.size() - 1);
        return streams.size() - 1;
    }

    void run(double span)
    {
        const double end = m_now + span;
        if (!m_ticks) {
            m_ticks = true;
            schedule(m_now, event_kind::tick, 0);
        }
        while (!m_events.empty() && m_events.top().at <= end) {
            const model_event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            handle(event);
        }
        m_now = end;
    }

    /** Advances the time without processing any events, as when the process is paused. */
    void pause(double span)
    {
        m_now += span;
    }

    void resetCounts()
    {
        counts.assign(counts.size(), {});
    }

    /** @return The fraction of a stream's ended calls that was answered in time. */
    double servedFraction(std::size_t index) const
    {
        const stream_count &count = counts[index];
        return static_cast<double>(count.answered) / static_cast<double>(std::max<std::uint64_t>(1, count.answered + count.late + count.refused));
    }

    /** Makes the backend server disappear, which ends all calls in it. */
    void loseServer()
    {
        const auto lost = m_working;
        m_working.clear();
        for (const auto &[id, stream] : lost) {
            subject.finish(call_id{id}, work_end::server_gone, now(), m_decisions);
        }
        subject.refuseAll(outcome_reason::no_upstream, now(), m_decisions);
        takeDecisions();
    }

    std::uint64_t answered() const
    {
        std::uint64_t sum = 0;
        for (const stream_count &count : counts) {
            sum += count.answered;
        }
        return sum;
    }

    clock_ms now() const
    {
        return {static_cast<std::int64_t>(m_now)};
    }

    gate subject;
    server_model server;
    std::vector<arrival_stream> streams;
    std::vector<stream_count> counts;
    std::uint64_t orderViolations = 0; ///< Protected calls refused while a less urgent one waits or is admitted at the same time.

private:
    enum class event_kind { arrival, completion, shed, tick };
    struct model_event {
        double at;
        event_kind kind;
        std::uint64_t subject; ///< Stream or call.
        bool operator<(const model_event &other) const
        {
            return at > other.at;
        }
    };
    struct model_call {
        std::size_t stream;
        double deadline;
    };

    void schedule(double at, event_kind kind, std::uint64_t what)
    {
        m_events.push({at, kind, what});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void handle(const model_event &event)
    {
        switch (event.kind) {
        case event_kind::arrival:
            arrive(event.subject);
            break;
        case event_kind::completion:
            finish(event.subject, uniform() < server.failureProbability ? work_end::failed : work_end::answered);
            break;
        case event_kind::shed:
            finish(event.subject, work_end::shed);
            break;
        case event_kind::tick:
            subject.tick(now(), m_decisions);
            schedule(m_now + 5, event_kind::tick, 0);
            break;
        }
        takeDecisions();
    }

    void arrive(std::size_t index)
    {
        const arrival_stream &stream = streams[index];
        const double idleCheck = 10; // Milliseconds between two checks of a stream whose rate is 0.
        schedule(m_now + (stream.rate > 0 ? -std::log(1 - uniform()) / stream.rate : idleCheck), event_kind::arrival, index);
        if (stream.rate <= 0) {
            return;
        }
        gate_call call;
        call.call = call_id{++m_lastCall};
        call.root = root_id{m_random() | 1};
        call.rank = rank_id{stream.rank};
        call.callClass = stream.callClass;
        call.isProtected = stream.isProtected;
        call.depth = stream.depth;
        call.deadline = now() + clock_ms{stream.deadline};
        call.lateOk = stream.lateOk;
        m_calls.emplace(m_lastCall, model_call{index, m_now + static_cast<double>(stream.deadline)});
        m_waiting[m_lastCall] = tierOf(stream);
        ++counts[index].offered;
        subject.submit(call, now(), m_decisions);
    }

    void start(std::uint64_t id)
    {
        m_working.emplace(id, m_calls.at(id).stream);
        while (m_busyUntil.size() > server.slots) {
            m_busyUntil.erase(m_busyUntil.begin());
        }
        while (!m_busyUntil.empty() && *m_busyUntil.begin() <= m_now) {
            m_busyUntil.erase(m_busyUntil.begin());
        }
        const bool isFull = m_busyUntil.size() >= server.slots;
        if (isFull && server.shedsExcess) {
            schedule(m_now + 1, event_kind::shed, id);
            return;
        }
        const double begin = isFull ? *m_busyUntil.begin() : m_now;
        if (isFull) {
            m_busyUntil.erase(m_busyUntil.begin());
        }
        const double end = begin + server.serviceTime * server.slowness * (0.5 + uniform());
        m_busyUntil.insert(end);
        schedule(end, event_kind::completion, id);
    }

    void finish(std::uint64_t id, work_end end)
    {
        if (m_working.erase(id) == 0) {
            return;
        }
        const model_call call = m_calls.at(id);
        m_calls.erase(id);
        const bool inTime = streams[call.stream].lateOk || m_now <= call.deadline;
        const bool isGood = end == work_end::answered && inTime;
        ++(isGood ? counts[call.stream].answered : counts[call.stream].late);
        subject.finish(call_id{id}, end, now(), m_decisions);
    }

    static int tierOf(const arrival_stream &stream)
    {
        return stream.isProtected ? stream.rank : 256 + stream.rank;
    }

    void takeDecisions()
    {
        std::vector<gate_decision> batch;
        std::swap(batch, m_decisions);
        for (const gate_decision &decision : batch) {
            take(decision);
        }
        const bool lessUrgentWaits = std::ranges::any_of(m_waiting, [&](const auto &waiter) {
            return waiter.second > m_refusedTier;
        });
        orderViolations += m_refusedAt == now() && lessUrgentWaits ? 1 : 0;
    }

    void take(const gate_decision &decision)
    {
        const std::uint64_t id = decision.call.value;
        const std::size_t index = m_calls.at(id).stream;
        const int tier = tierOf(streams[index]);
        m_waiting.erase(id);
        if (decision.admitted) {
            orderViolations += m_refusedAt == now() && tier > m_refusedTier ? 1 : 0;
            ++counts[index].admitted;
            counts[index].waited += decision.waited.count;
            counts[index].longestWait = std::max(counts[index].longestWait, decision.waited.count);
            start(id);
            return;
        }
        ++counts[index].refused;
        m_calls.erase(id);
        if (streams[index].isProtected && decision.reason == outcome_reason::overloaded) {
            m_refusedTier = m_refusedAt == now() ? std::min(m_refusedTier, tier) : tier;
            m_refusedAt = now();
        }
    }

    std::mt19937_64 m_random;
    std::priority_queue<model_event> m_events;
    std::map<std::uint64_t, model_call> m_calls;
    std::map<std::uint64_t, std::size_t> m_working;
    std::map<std::uint64_t, int> m_waiting;
    std::multiset<double> m_busyUntil;
    std::vector<gate_decision> m_decisions;
    double m_now = 0;
    std::uint64_t m_lastCall = 0;
    bool m_ticks = false;
    clock_ms m_refusedAt{-1};
    int m_refusedTier = 0;
};

/** While it exists, a violated invariant throws and so fails the test. */
class strict_invariants
{
public:
    strict_invariants();
    ~strict_invariants();
    strict_invariants(const strict_invariants &) = delete;
    strict_invariants &operator=(const strict_invariants &) = delete;
};

} // namespace cicadamux::test
