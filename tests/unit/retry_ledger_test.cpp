/** @file retry_ledger_test.cpp Tests of the retry ledger: the allowance bounds the extra attempts of call trees with lost answers and restarts. */

#include "retry/retry_ledger_base.h"
#include "support/invariant_guard_type.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

using namespace cicadamux;

namespace
{
constexpr std::size_t daemonCount = 6;
constexpr int maxDepth = 8;
constexpr std::size_t maxCalls = 400; ///< In one tree.

/** One call, with the daemon that holds it. */
struct tree_call {
    call_id id;
    std::size_t daemon = 0;
    std::size_t parent = 0; ///< Index of its parent.
    std::uint32_t part = 0; ///< Extra attempts lent by the parent.
    int depth = 0;
    bool isOver = false;
    std::set<std::uint64_t> children; ///< Keys of the distinct child calls so far.
};

/** Simulates a call tree over several daemons, with lost answers and restarts. */
class tree_simulation
{
public:
    tree_simulation(std::uint64_t seed, std::uint32_t allowance)
        : m_random(seed)
    {
        for (auto &ledger : m_ledgers) {
            ledger = std::make_unique<retry_ledger>();
        }
        addCall(0, allowance, 0);
    }

    /** Runs until all calls are over. */
    void run()
    {
        while (m_open > 0) {
            const std::size_t index = below(m_calls.size());
            if (!m_calls[index].isOver) {
                step(index);
            }
        }
    }

    std::uint32_t extraAttempts = 0; ///< Attempts beyond the first of each call.

private:
    std::size_t below(std::size_t bound)
    {
        return m_random() % bound;
    }

    retry_ledger &ledgerOf(std::size_t index)
    {
        return *m_ledgers.at(m_calls[index].daemon);
    }

    void addCall(std::size_t parent, std::uint32_t part, int depth)
    {
        tree_call call;
        call.id.value = m_calls.size() + 1;
        call.daemon = below(daemonCount);
        call.parent = parent;
        call.part = part;
        call.depth = depth;
        m_calls.push_back(call);
        ledgerOf(m_calls.size() - 1).open(call.id, part);
        ++m_open;
    }

    void step(std::size_t index)
    {
        const std::size_t action = below(100);
        if (action < 55 && m_calls[index].depth < maxDepth && m_calls.size() < maxCalls) {
            callChild(index, below(3) == 0 ? below(4) : below(40));
        } else if (action < 60) {
            extraAttempts += ledgerOf(index).spend(m_calls[index].id) ? 1 : 0;
        } else if (action < 62) {
            restart(below(daemonCount));
        } else {
            end(index, below(5) == 0);
        }
    }

    void callChild(std::size_t index, std::uint64_t key)
    {
        const child_grant grant = ledgerOf(index).openChild(m_calls[index].id, {key}, static_cast<allowance_share>(below(3)));
        if (!grant.allowed) {
            return;
        }
        extraAttempts += m_calls[index].children.insert(key).second ? 0 : 1;
        addCall(index, grant.allowance, m_calls[index].depth + 1);
    }

    void end(std::size_t index, bool isLost)
    {
        tree_call &call = m_calls[index];
        const std::uint32_t unspent = ledgerOf(index).close(call.id);
        call.isOver = true;
        --m_open;
        if (index != 0) {
            ledgerOf(call.parent).closeChild(m_calls[call.parent].id, call.part, isLost ? 0 : unspent);
        }
    }

    /** Restarts a daemon, which loses its calls: their parents get no answer, their children continue. */
    void restart(std::size_t daemon)
    {
        m_ledgers.at(daemon) = std::make_unique<retry_ledger>();
        for (std::size_t index = 0; index < m_calls.size(); ++index) {
            if (!m_calls[index].isOver && m_calls[index].daemon == daemon && below(2) == 0) {
                end(index, true); // The backend servers of the other calls continue with a context that the daemon no longer holds.
            }
        }
    }

    std::mt19937_64 m_random;
    std::array<std::unique_ptr<retry_ledger>, daemonCount> m_ledgers;
    std::vector<tree_call> m_calls;
    std::size_t m_open = 0;
};
} // namespace

TEST_CASE("extra attempts of a call tree never exceed the root's allowance")
{
    const test::invariant_guard guard;
    std::uint64_t used = 0;
    for (std::uint64_t seed = 1; seed <= test::seedCount(3'000); ++seed) {
        CAPTURE(seed);
        const auto allowance = static_cast<std::uint32_t>(seed % 17);
        tree_simulation simulation(seed, allowance);
        simulation.run();
        REQUIRE(simulation.extraAttempts <= allowance);
        used += simulation.extraAttempts;
    }
    CHECK(used > 0);
}

TEST_CASE("an unspent part comes back, a lost one doesn't")
{
    retry_ledger ledger;
    const call_id parent{1};
    ledger.open(parent, 5);
    const child_grant first = ledger.openChild(parent, {10});
    CHECK(first.allowance == 3);
    ledger.closeChild(parent, first.allowance, 2);
    CHECK(ledger.remaining(parent) == 4);
    const child_grant second = ledger.openChild(parent, {11});
    ledger.closeChild(parent, second.allowance, 0);
    CHECK(ledger.remaining(parent) == 2);
    ledger.openChild(parent, {12});
    CHECK(ledger.openChild(parent, {13}, allowance_share::none).allowance == 0);
    CHECK(ledger.openChild(parent, {14}, allowance_share::all).allowance == 1);
    CHECK(ledger.close(parent) == 0);
}

TEST_CASE("a repeat draws from the allowance, also while the first attempt is in flight")
{
    retry_ledger ledger;
    const call_id parent{1};
    ledger.open(parent, 2);
    const child_key key = makeChildKey("feebox", "pay", "POST", "/fees", "7");
    CHECK_FALSE(ledger.openChild(parent, key).isRepeat);
    const child_grant repeat = ledger.openChild(parent, key);
    CHECK((repeat.allowed && repeat.isRepeat));
    CHECK_FALSE(ledger.openChild(parent, key).allowed);
    CHECK(ledger.openChild(parent, makeChildKey("feebox", "pay", "POST", "/fees", "8")).allowed);
    CHECK_FALSE(ledger.openChild({2}, key).allowed);
}

TEST_CASE("distinct children beyond the bound count as repeats")
{
    retry_ledger ledger;
    ledger.open({1}, 1);
    for (std::uint64_t key = 0; key < 256; ++key) {
        const child_grant grant = ledger.openChild({1}, {key});
        REQUIRE(grant.allowed);
        ledger.closeChild({1}, grant.allowance, grant.allowance);
    }
    CHECK(ledger.openChild({1}, {256}).isRepeat);
    CHECK_FALSE(ledger.openChild({1}, {257}).allowed);
}

TEST_CASE("threads that lend, spend and return share one allowance")
{
    constexpr std::uint32_t allowance = 1'000'000;
    retry_ledger ledger;
    ledger.open({1}, allowance);
    std::atomic<std::uint32_t> spent{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (std::uint64_t key = 0; key < 4; ++key) {
        threads.emplace_back([&, key] {
            for (int round = 0; round < 50'000; ++round) {
                const child_grant grant = ledger.openChild({1}, {key});
                spent += grant.isRepeat && grant.allowed ? 1 : 0;
                spent += grant.allowance > 0 ? 1 : 0;
                ledger.closeChild({1}, grant.allowance, grant.allowance > 0 ? grant.allowance - 1 : 0);
                spent += ledger.spend({1}) ? 1 : 0;
            }
        });
    }
    for (std::thread &each : threads) {
        each.join();
    }
    CHECK(spent + ledger.close({1}) == allowance);
}
