/** @file admission_gate_test.cpp Tests of the gate: order of admission and refusal, queue and slot accounting. */

#include "admission/gate_base.h"
#include "core/invariant_func.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cicadamux;

namespace
{
gate_call makeCall(std::uint64_t id, std::uint8_t rank, bool isProtected)
{
    gate_call call;
    call.call = call_id{id};
    call.root = root_id{id};
    call.rank = rank_id{rank};
    call.callClass = "class";
    call.isProtected = isProtected;
    call.deadline = clock_ms{10'000};
    return call;
}

gate_settings oneSlot()
{
    gate_settings settings;
    settings.initialLimit = 1;
    settings.maxLimit = 1;
    return settings;
}

const gate_decision *decisionOn(const std::vector<gate_decision> &decisions, std::uint64_t id)
{
    const auto found = std::ranges::find(decisions, call_id{id}, &gate_decision::call);
    return found == decisions.end() ? nullptr : &*found;
}
} // namespace

TEST_CASE("a protected call goes before lesser ones, and deeper calls of a class before others")
{
    gate subject(oneSlot());
    std::vector<gate_decision> decisions;
    subject.submit(makeCall(1, 2, false), clock_ms{0}, decisions);
    subject.submit(makeCall(2, 2, false), clock_ms{0}, decisions);
    subject.submit(makeCall(3, 0, true), clock_ms{0}, decisions);
    gate_call deep = makeCall(4, 0, true);
    deep.depth = 3;
    subject.submit(deep, clock_ms{0}, decisions);
    REQUIRE(decisions.size() == 1);
    for (const std::uint64_t expected : {4, 3, 2}) {
        const call_id holder = decisions.back().call;
        subject.finish(holder, work_end::answered, clock_ms{1}, decisions);
        CHECK(decisions.back().call == call_id{expected});
        CHECK(decisions.back().admitted);
    }
}

TEST_CASE("a full queue refuses the least urgent, and a refused protected call takes all lesser ones with it")
{
    gate_settings settings = oneSlot();
    settings.maxWaiting = 2;
    gate subject(settings);
    std::vector<gate_decision> decisions;
    subject.submit(makeCall(1, 2, false), clock_ms{0}, decisions);
    subject.submit(makeCall(2, 2, false), clock_ms{0}, decisions);
    subject.submit(makeCall(3, 0, true), clock_ms{0}, decisions);
    subject.submit(makeCall(4, 0, true), clock_ms{0}, decisions);
    REQUIRE(decisionOn(decisions, 2) != nullptr);
    CHECK((decisionOn(decisions, 2)->reason == outcome_reason::overloaded));
    CHECK(decisionOn(decisions, 2)->rankAdmitted == 2);
    CHECK(decisionOn(decisions, 3) == nullptr);
    subject.submit(makeCall(5, 0, true), clock_ms{0}, decisions);
    REQUIRE(decisionOn(decisions, 5) != nullptr);
    CHECK_FALSE(decisionOn(decisions, 5)->admitted);
    subject.submit(makeCall(6, 2, false), clock_ms{0}, decisions);
    REQUIRE(decisionOn(decisions, 6) != nullptr);
    CHECK(decisionOn(decisions, 6)->rankAdmitted == 0);
}

TEST_CASE("a call that can't meet its deadline is dropped, a late-ok one never is")
{
    gate subject(oneSlot());
    std::vector<gate_decision> decisions;
    subject.submit(makeCall(1, 0, true), clock_ms{0}, decisions);
    gate_call strict = makeCall(2, 0, true);
    strict.deadline = clock_ms{50};
    gate_call late = makeCall(3, 1, false);
    late.deadline = clock_ms{50};
    late.lateOk = true;
    subject.submit(strict, clock_ms{0}, decisions);
    subject.submit(late, clock_ms{0}, decisions);
    subject.tick(clock_ms{5'000}, decisions);
    REQUIRE(decisionOn(decisions, 2) != nullptr);
    CHECK((decisionOn(decisions, 2)->reason == outcome_reason::queue_timeout));
    CHECK(decisionOn(decisions, 3) == nullptr);
    subject.finish(call_id{1}, work_end::answered, clock_ms{5'001}, decisions);
    REQUIRE(decisionOn(decisions, 3) != nullptr);
    CHECK(decisionOn(decisions, 3)->admitted);
}

TEST_CASE("a call taken back while it waits gets no decision")
{
    gate subject(oneSlot());
    std::vector<gate_decision> decisions;
    subject.submit(makeCall(1, 0, true), clock_ms{0}, decisions);
    subject.submit(makeCall(2, 0, true), clock_ms{0}, decisions);
    CHECK(subject.withdraw(call_id{2}, clock_ms{1}, decisions));
    CHECK_FALSE(subject.withdraw(call_id{1}, clock_ms{1}, decisions));
    subject.finish(call_id{1}, work_end::cancelled, clock_ms{2}, decisions);
    CHECK(decisions.size() == 1);
    CHECK(subject.snapshot(clock_ms{2}).inUse == 0);
}

TEST_CASE("a slot given back twice, or never taken, is a violation and changes nothing")
{
    gate subject(oneSlot());
    std::vector<gate_decision> decisions;
    subject.submit(makeCall(1, 0, true), clock_ms{0}, decisions);
    subject.submit(makeCall(2, 0, true), clock_ms{0}, decisions);
    const std::uint64_t before = invariantViolations(invariant::slot_accounting);
    subject.finish(call_id{1}, work_end::answered, clock_ms{1}, decisions);
    CHECK(invariantViolations(invariant::slot_accounting) == before);
    subject.finish(call_id{1}, work_end::answered, clock_ms{1}, decisions);
    subject.finish(call_id{7}, work_end::answered, clock_ms{1}, decisions);
    CHECK(invariantViolations(invariant::slot_accounting) == before + 2);
    CHECK(subject.snapshot(clock_ms{1}).inUse == 1);
}
