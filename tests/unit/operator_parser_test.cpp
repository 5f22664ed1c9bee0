/** @file operator_parser_test.cpp Tests of valid and invalid lines of the query language. */

#include "operator/command_parser_func.h"

#include "operator/command_table.h"
#include "operator_fleet_fake.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace cicadamux;

namespace
{
parse_fault faultOf(std::string_view line)
{
    try {
        parseCommand(line);
    } catch (const parse_error &wrong) {
        return wrong.fault();
    }
    FAIL("accepted: " << line);
    return {};
}

template<typename Command>
Command parsed(std::string_view line)
{
    return std::get<Command>(parseCommand(line));
}
} // namespace

TEST_CASE("each command's example is a line of the language")
{
    for (const detail::command_row &row : detail::commandRows()) {
        CAPTURE(row.example);
        CHECK_NOTHROW(parseCommand(row.example));
        CHECK_FALSE(row.help.empty());
    }
}

TEST_CASE("optional parts stand in any order and give typed values")
{
    const auto refusals = parsed<show_refusals_command>("show  refusals by rank last 90s for pitchdesk");
    CHECK(refusals.service == "pitchdesk");
    CHECK(refusals.span == clock_ms{90'000});
    CHECK(refusals.by == refusal_grouping::rank);
    CHECK(parsed<show_refusals_command>("show refusals").span == clock_ms{300'000});
    const auto change = parsed<change_command>("preview set operation a/b passes-through c,d from generation 7");
    CHECK(change.previewOnly);
    CHECK(change.fromGeneration == 7);
    CHECK(std::get<operation_edit>(change.edit).passesThrough == std::vector<std::string>{"c", "d"});
    CHECK(std::get<operation_edit>(parsed<change_command>("set operation a/b passes-through nothing").edit).passesThrough->empty());
    CHECK(std::get<object_edit>(parsed<change_command>(R"(replace ranks {"a": "} {"})").edit).json == R"({"a": "} {"})");
}

TEST_CASE("a wrong word is answered with its place and the nearest right one")
{
    const parse_fault word = faultOf("show refusal for pitchdesk");
    CHECK(word.position == 5);
    CHECK(word.word == "refusal");
    CHECK(word.nearest == "refusals");
    CHECK(word.problem == "unknown word");
    CHECK(faultOf("shwo members").nearest == "show");
    CHECK(faultOf("show refusals by rnak").nearest == "rank");
    CHECK(faultOf("show refusals last soon").problem == "malformed value");
    CHECK(faultOf("set rank browse").problem == "missing word");
    CHECK(faultOf("set rank browse").position == 15);
    CHECK(faultOf("set rank browse").expected == std::vector<std::string>{"effort", "protected"});
    CHECK(faultOf("why refused 0000000000000000").problem == "malformed value");
    CHECK(faultOf("drain a b").word == "b");
    CHECK(faultOf("preview show members").expected == std::vector<std::string>{"set", "replace"});
    CHECK(faultOf("").problem == "missing word");
    CHECK(faultOf("drain a\x01").problem == "malformed line");
    CHECK(faultOf("replace ranks {\"a\":1").problem == "malformed line");
    CHECK(faultOf(std::string(100, 'x') + ' ' + std::string(5'000, 'y')).problem == "malformed line");
    CHECK(faultOf("show refusals for a for b").word == "for");
}

TEST_CASE("completion offers what may come next")
{
    CHECK(nextWords("why") == std::vector<std::string>{"refused"});
    CHECK(nextWords("set rank browse") == std::vector<std::string>{"effort", "protected"});
    CHECK(nextWords("show refusals by").front() == "reason");
    CHECK(nextWords("show nonsense").empty());
}

TEST_CASE("the language's page equals the table")
{
    std::ifstream page(CICADAMUX_SOURCE_DIR "/docs/LANGUAGE.md");
    std::ostringstream text;
    text << page.rdbuf();
    CHECK(text.str() == explainLanguageMarkdown());
}

TEST_CASE("no line crashes, and a line that isn't understood does nothing")
{
    const auto rows = detail::commandRows();
    for (std::uint64_t seed = 1; seed <= test::seedCount(1'500); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::string line(rows[random() % rows.size()].example);
        for (std::uint64_t edits = random() % 5; edits > 0 && !line.empty(); --edits) {
            const std::size_t at = random() % line.size();
            switch (random() % 4) {
            case 0:
                line[at] = static_cast<char>(random());
                break;
            case 1:
                line.erase(at, 1 + random() % 8);
                break;
            case 2:
                line.insert(at, std::string(rows[random() % rows.size()].example).substr(0, random() % 30));
                break;
            default:
                line.insert(at, 1, ' ');
            }
        }
        CAPTURE(line);
        test::operators::fake_fleet fleet;
        fleet.add("host-a1", "tbs-1", "pitchdesk");
        fleet.add("host-b1", "tbs-2", "feebox");
        const std::size_t before = fleet.platform.writes();
        const query_result result = fleet.run(line);
        CHECK(fleet.platform.writes() - before == (result.status == query_status::accepted && result.change ? 1 : 0));
        CHECK((result.status == query_status::usage) == result.parseFault.has_value());
        if (result.parseFault) {
            CHECK(result.parseFault->position <= line.size());
            CHECK(fleet.draining.empty());
        }
        CHECK_FALSE(formatResultText(result).empty());
    }
}
