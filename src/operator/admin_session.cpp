/** @file admin_session.cpp Runs one query from the command line; a change is previewed, applied, and awaited until it is in force. */

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
        return false; // The daemon's answer reports the error.
    }
}

query_result makeFailedResult(const admin_error &failure, bool mayHaveChanged)
{
    query_result result;
    result.summary = failure.what();
    result.status = query_status::unreachable;
    if (failure.failure() == admin_failure::bad_address) {
        result.status = query_status::usage;
    } else if (failure.failure() == admin_failure::no_answer && mayHaveChanged) {
        result.status = query_status::unknown;
        result.summary += "; the change may have been applied: `preview` it again to see whether any difference is left";
    }
    return result;
}

/** Sends one query. A failure is returned as a result, so that it is printed like any other answer. */
query_result sendQuery(const std::string &line, const admin_options &options)
{
    try {
        return parseResultJson(queryAdmin(options.address, line, options.timeLimit));
    } catch (const admin_error &exception) {
        return makeFailedResult(exception, isChange(line));
    } catch (const query_result_error &exception) {
        return makeFailedResult(admin_error(admin_failure::no_answer, exception.what()), isChange(line));
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

std::string makeInForceQuery(const named_generation &change)
{
    const std::string object = change.kind == rankTableKind ? "ranks" : change.name;
    return "show in-force " + object + " generation " + std::to_string(change.generation);
}

/** Polls until a change is in force in every data centre or the wait is over; prints the progress whenever it changes. */
query_status waitUntilInForce(const named_generation &change, const admin_options &options, std::ostream &out)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(options.wait.count);
    std::string lastPrinted;
    while (true) {
        const query_result result = sendQuery(makeInForceQuery(change), options);
        const std::string progress = formatProgress(result);
        if (!options.asJson && progress != lastPrinted) {
            out << progress << '\n' << std::flush;
            lastPrinted = progress;
        }
        if (result.status == query_status::ok || std::chrono::steady_clock::now() >= deadline) {
            print(result, options, out);
            return result.status == query_status::ok ? query_status::ok : query_status::accepted;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}
} // namespace

std::string formatProgress(const query_result &result)
{
    enum column : std::uint8_t { object, generation, data_center, in_force, behind, silent, state, count };
    std::string line;
    for (const query_table &table : result.tables) {
        for (const query_row &row : table.rows) {
            const auto *name = row.size() == column::count ? std::get_if<std::string>(&row[data_center]) : nullptr;
            const auto *inForce = row.size() == column::count ? std::get_if<std::int64_t>(&row[in_force]) : nullptr;
            const auto *behindCount = row.size() == column::count ? std::get_if<std::int64_t>(&row[behind]) : nullptr;
            const auto *silentCount = row.size() == column::count ? std::get_if<std::int64_t>(&row[silent]) : nullptr;
            const auto *stateName = row.size() == column::count ? std::get_if<std::string>(&row[state]) : nullptr;
            if (name != nullptr && inForce != nullptr && behindCount != nullptr && silentCount != nullptr && stateName != nullptr) {
                line += (line.empty() ? "" : "; ") + *name + ' ' + *stateName + " (" + std::to_string(*inForce) + " of "
                    + std::to_string(*inForce + *behindCount + *silentCount) + ')';
            }
        }
    }
    return line.empty() ? result.summary : line;
}

query_result previewChange(const std::string &line, const admin_options &options)
{
    return sendQuery("preview " + line, options);
}

query_status applyChange(const std::string &line, const query_result &preview, const admin_options &options, std::ostream &out)
{
    const bool addGeneration = preview.base.has_value() && line.find(" from generation ") == std::string::npos;
    query_result result = sendQuery(addGeneration ? line + " from generation " + std::to_string(preview.base->generation) : line, options);
    result.differences.clear(); // Already printed with the preview.
    print(result, options, out);
    if (result.status != query_status::accepted || !result.change || options.wait.count == 0) {
        return result.status;
    }
    return waitUntilInForce(*result.change, options, out);
}

bool isChangeLine(const std::string &line)
{
    return isChange(line);
}

query_status runAdminQuery(const std::string &line, const admin_options &options, std::ostream &out)
{
    if (!isChange(line)) {
        const query_result result = sendQuery(line, options);
        print(result, options, out);
        return result.status;
    }
    const query_result preview = previewChange(line, options);
    if (preview.status != query_status::ok || preview.differences.empty()) {
        print(preview, options, out);
        return preview.status;
    }
    printDifferences(preview, options, out);
    return applyChange(line, preview, options, out);
}

} // namespace cicadamux
