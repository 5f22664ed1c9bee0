/** @file admission_wait_queue_test.cpp Tests of the wait queue's fairness and of the fair division of a capacity. */

#include "admission/share_func.h"
#include "admission/wait_queue_base.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::detail;

namespace
{
struct queue_fixture {
    queue_fixture()
        : queue(classes)
    {
        const std::vector<rank_rule> ranks = {{"urgent", true, 1}, {"lookup", false, 3}, {"browse", false, 1}};
        classes.setRanks(ranks);
    }

    void push(std::uint8_t rank, const std::string &callClass, int count)
    {
        for (int number = 0; number < count; ++number) {
            gate_call call;
            call.call = call_id{++lastCall};
            call.rank = rank_id{rank};
            call.callClass = callClass;
            queue.push(call, classes.classOf(call, {}), {});
        }
    }

    /** Takes `count` calls in order of admission. @return Their number by rank and class. */
    std::map<std::string, int> serve(int count)
    {
        std::map<std::string, int> served;
        for (int number = 0; number < count; ++number) {
            const std::optional<taken_call> next = queue.takeNext();
            queue.charge(*next->workClass);
            ++served[std::to_string(next->waiter.call.rank.value) + next->workClass->name];
        }
        return served;
    }

    class_table classes;
    wait_queue queue;
    std::uint64_t lastCall = 0;
};
} // namespace

TEST_CASE("the queue serves lesser ranks by effort and their classes evenly")
{
    queue_fixture fixture;
    fixture.push(1, "a", 100);
    fixture.push(1, "b", 40);
    fixture.push(2, "c", 100);
    std::map<std::string, int> served = fixture.serve(80);
    CHECK(served["1a"] == doctest::Approx(30).epsilon(0.1));
    CHECK(served["1b"] == doctest::Approx(30).epsilon(0.1));
    CHECK(served["2c"] == doctest::Approx(20).epsilon(0.1));
}

TEST_CASE("the queue refuses from the rank that holds most for its effort, and from its largest class")
{
    queue_fixture fixture;
    fixture.push(1, "a", 60);
    fixture.push(2, "c", 30);
    fixture.push(2, "d", 10);
    for (int number = 0; number < 20; ++number) {
        const std::optional<taken_call> last = fixture.queue.takeNextToRefuse();
        CHECK(last->waiter.call.rank == rank_id{2});
        CHECK(last->workClass->name == "c");
    }
    CHECK(fixture.queue.size() == 80);
}

TEST_CASE("the classes of a rank are bounded")
{
    queue_fixture fixture;
    constexpr int many = 1'000;
    for (int number = 0; number < many; ++number) {
        fixture.push(2, "class" + std::to_string(number), 1);
    }
    CHECK(fixture.classes.tier(firstUnprotectedTier + 2).classes.size() <= maxClassesPerTier + 1);
    CHECK(fixture.queue.size() == many);
}

TEST_CASE("a capacity is divided by weight, and what one claim leaves goes to the others")
{
    const std::vector<share_claim> claims = {{100, 3}, {5, 1}, {100, 1}};
    const std::vector<double> given = divideCapacity(45, claims);
    CHECK(given[0] == doctest::Approx(30));
    CHECK(given[1] == doctest::Approx(5));
    CHECK(given[2] == doctest::Approx(10));
    CHECK(divideCapacity(0, claims)[0] == 0);
}
