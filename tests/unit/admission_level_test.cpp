/** @file admission_level_test.cpp Tests of the overload level: division of the slots and the published level. */

#include "admission/overload_level_base.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::detail;

namespace
{
constexpr clock_ms windowLength{100};
constexpr std::uint32_t limit = 10;

struct level_fixture {
    level_fixture()
    {
        const std::vector<rank_rule> ranks = {{"urgent", true, 1}, {"lookup", false, 3}, {"browse", false, 1}};
        classes.setRanks(ranks);
    }

    work_class &classOf(std::uint8_t rank, bool isProtected)
    {
        gate_call call;
        call.rank = rank_id{rank};
        call.isProtected = isProtected;
        return classes.classOf(call, now);
    }

    /** Runs several windows in which a class offers work for the given number of slots. */
    void offer(work_class &workClass, int slots)
    {
        constexpr int windows = 20;
        constexpr double slotTime = 10;
        for (int window = 0; window < windows; ++window) {
            for (int call = 0; call < slots * 10; ++call) {
                level.offered(workClass);
            }
            level.measured(workClass, slotTime);
            level.observe(1, 1, limit, now);
            now += windowLength;
            level.advance(limit, windowLength, now);
        }
    }

    class_table classes;
    overload_level level{classes};
    clock_ms now;
};
} // namespace

TEST_CASE("a level admits all ranks until something is refused")
{
    level_fixture fixture;
    CHECK(fixture.level.level().rank == rank_id{2});
    CHECK(fixture.level.level().subLevel == subLevelCount);
    fixture.offer(fixture.classOf(2, false), limit / 2);
    CHECK(fixture.level.level().subLevel == subLevelCount);
}

TEST_CASE("a level refuses all lesser work while protected work is refused in part")
{
    level_fixture fixture;
    work_class &browse = fixture.classOf(2, false);
    work_class &hold = fixture.classOf(0, true);
    fixture.offer(hold, 4 * limit);
    CHECK(hold.admittedFraction < 0.5);
    CHECK(hold.admittedFraction > 0);
    CHECK(browse.admittedFraction == 0);
    CHECK(fixture.classOf(1, false).admittedFraction == 0);
    CHECK(fixture.level.level().rank == rank_id{0});
    CHECK(fixture.level.level().subLevel < subLevelCount);
}
