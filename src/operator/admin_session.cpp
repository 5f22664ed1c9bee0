/** @file admin_session.cpp Runs one query from the command line: shows a change, makes it, and waits until it is in force. */

#include "operator/subcommands_func.h"

#include "operator/admin_client_func.h"
#include "operator/admin_session_func.h"
#include "operator/command_parser_func.h"
#include "policy/policy_type.h"

#include <chrono>
#include <ostream>
#include <thread>

namespace cicadamux
{

namespace
{
constexpr std::chrono::milliseconds pollPeriod(500);

bool isChange(const std::string &line)
{
    try {
        const command parsed = parseCommand(line);
        const auto *change = std::get_if<change_command>(&parsed);
        return change != nullptr && !change->previewOnly;
    } catch (const parse_error &) {
        return false; // The daemon's answer says what is wrong.
    }
}

query_result failedResult(const admin_error &failed, bool mayHaveChanged)
{
    query_result result;
    result.summary = failed.what();
    result.status = query_status::unreachable;
    if (failed.failure() == admin_failure::bad_address) {
        result.status = query_status::usage;
    } else if (failed.failure() == admin_failure::no_answer && mayHaveChanged) {
        result.status = query_status::unknown;
        result.summary += "; the change may have been made: `preview` it again to see whether anything is left to alter";
    }
    return result;
}

/** Asks one line. A failure becomes a result, so that it is printed like any other. */
query_result ask(const std::string &line, const admin_options &options)
{
    try {
        return parseResultJson(askAdmin(options.address, line, options.timeLimit));
    } catch (const admin_error &failed) {
        return failedResult(failed, isChange(line));
    } catch (const query_result_error &malformed) {
        return failedResult(admin_error(admin_failure::no_answer, malformed.what()), isChange(line));
    }
}

void print(const query_result &result, const admin_options &options, std::ostream &out)
{
    out << (options.asJson ? formatResultJson(result) + '\n' : formatResultText(result)) << std::flush;
}

void printDifferences(const query_result &preview, const admin_options &options, std::ostream &out)
{
    if (options.asJson) {
        print(preview, options, out);
        return;
    }
    out << "this alters:\n";
    for (const value_difference &difference : preview.differences) {
        out << "  " << formatDifference(difference) << '\n';
    }
}

std::string inForceLine(const named_generation &change)
{
    const std::string object = change.kind == rankTableKind ? "ranks" : change.name;
    return "show in-force " + object + " generation " + std::to_string(change.generation);
}

/** Waits until a change is in force everywhere, and prints each progress. */
query_status waitInForce(const named_generation &change, const admin_options &options, std::ostream &out)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(options.wait.count);
    std::string shown;
    while (true) {
        const query_result result = ask(inForceLine(change), options);
        const std::string progress = progressLine(result);
        if (!options.asJson && progress != shown) {
            out << progress << '\n' << std::flush;
            shown = progress;
        }
        const bool isOver = result.status == query_status::ok || std::chrono::steady_clock::now() >= until;
        if (isOver) {
            print(result, options, out);
            return result.status == query_status::ok ? query_status::ok : query_status::accepted;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}
} // namespace

std::string progressLine(const query_result &result)
{
    enum column : std::uint8_t { object, generation, data_center, in_force, behind, silent, state, count };
    std::string line;
    for (const query_table &table : result.tables) {
        for (const query_row &row : table.rows) {
            const auto *name = row.size() == column::count ? std::get_if<std::string>(&row[data_center]) : nullptr;
            const auto *holding = row.size() == column::count ? std::get_if<std::int64_t>(&row[in_force]) : nullptr;
            const auto *lacking = row.size() == column::count ? std::get_if<std::int64_t>(&row[behind]) : nullptr;
            const auto *quiet = row.size() == column::count ? std::get_if<std::int64_t>(&row[silent]) : nullptr;
            const auto *said = row.size() == column::count ? std::get_if<std::string>(&row[state]) : nullptr;
            if (name != nullptr && holding != nullptr && lacking != nullptr && quiet != nullptr && said != nullptr) {
                line += (line.empty() ? "" : "; ") + *name + ' ' + *said + " (" + std::to_string(*holding) + " of "
                    + std::to_string(*holding + *lacking + *quiet) + ')';
            }
        }
    }
    return line.empty() ? result.summary : line;
}

query_result previewChange(const std::string &line, const admin_options &options)
{
    return ask("preview " + line, options);
}

query_status makeChange(const std::string &line, const query_result &preview, const admin_options &options, std::ostream &out)
{
    const bool isFixed = preview.base.has_value() && line.find(" from generation ") == std::string::npos;
    query_result result = ask(isFixed ? line + " from generation " + std::to_string(preview.base->generation) : line, options);
    result.differences.clear(); // They were shown with the preview.
    print(result, options, out);
    if (result.status != query_status::accepted || !result.change || options.wait.count == 0) {
        return result.status;
    }
    return waitInForce(*result.change, options, out);
}

bool isChangeLine(const std::string &line)
{
    return isChange(line);
}

query_status runAdminQuery(const std::string &line, const admin_options &options, std::ostream &out)
{
    if (!isChange(line)) {
        const query_result result = ask(line, options);
        print(result, options, out);
        return result.status;
    }
    const query_result preview = previewChange(line, options);
    if (preview.status != query_status::ok || preview.differences.empty()) {
        print(preview, options, out);
        return preview.status;
    }
    printDifferences(preview, options, out);
    return makeChange(line, preview, options, out);
}

} // namespace cicadamux
