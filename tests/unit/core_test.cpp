/** @file core_test.cpp Tests of identifiers, log line formatting and RCU snapshots. */

#include "core/id_type.h"
#include "core/log_func.h"
#include "core/rcu_type.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace cicadamux;

TEST_CASE("identifiers survive their text form and nothing else parses")
{
    CHECK(toHex(0x00f3a1b2c4d5e6f7) == "00f3a1b2c4d5e6f7");
    CHECK(fromHex("00f3a1b2c4d5e6f7") == 0x00f3a1b2c4d5e6f7);
    CHECK_FALSE(fromHex("00F3a1b2c4d5e6f7").has_value());
    CHECK_FALSE(fromHex("0x").has_value());
    CHECK_FALSE(fromHex("00f3a1b2c4d5e6f70").has_value());
}

TEST_CASE("a log line can't be forged by a value")
{
    CHECK(formatLogLine("call_refused", {{"root", "a b"}, {"text", "x\nevent=y"}}) == "event=call_refused root=\"a b\" text=\"x?event=y\"");
}

TEST_CASE("readers of a snapshot see whole values while a writer replaces them")
{
    rcu_snapshot<std::pair<int, int>> snapshot;
    std::atomic<bool> stop{false};
    std::atomic<int> torn{0};
    std::thread reader([&] {
        while (!stop) {
            const auto value = snapshot.load();
            torn += value->first != value->second;
        }
    });
    constexpr int writes = 2000;
    for (int number = 1; number <= writes; ++number) {
        snapshot.publish(std::make_shared<const std::pair<int, int>>(number, number));
    }
    stop = true;
    reader.join();
    CHECK(torn == 0);
    CHECK(snapshot.load()->first == writes);
}
