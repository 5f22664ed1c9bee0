/** @file query_result_text.cpp Human-readable form of query results. */

#include "operator/query_result_type.h"

#include <algorithm>
#include <cstdio>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxListedMissing = 10; ///< Missing answers that are listed one by one.

std::string cellText(const query_cell &cell)
{
    if (const auto *text = std::get_if<std::string>(&cell)) {
        return text->empty() ? "-" : *text;
    }
    if (const auto *whole = std::get_if<std::int64_t>(&cell)) {
        return std::to_string(*whole);
    }
    constexpr std::size_t maxLength = 32;
    char text[maxLength];
    std::snprintf(text, sizeof text, "%.2f", std::get<double>(cell));
    return text;
}

std::string padded(const std::string &text, std::size_t width)
{
    return text + std::string(width - std::min(width, text.size()), ' ');
}

void appendLine(std::string &text, const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += padded(cells[column], widths[column]) + "  ";
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
}

void appendTable(std::string &text, const query_table &table)
{
    std::vector<std::vector<std::string>> lines{table.columns};
    for (const query_row &row : table.rows) {
        std::vector<std::string> &line = lines.emplace_back();
        std::ranges::transform(row, std::back_inserter(line), cellText);
    }
    std::vector<std::size_t> widths(table.columns.size());
    for (const auto &line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    if (!table.title.empty()) {
        text += table.title + ":\n";
    }
    for (const auto &line : lines) {
        appendLine(text, line, widths);
    }
    text += '\n';
}

void appendParseFault(std::string &text, const parse_fault &fault)
{
    text += "at column " + std::to_string(fault.position + 1) + ": " + fault.problem + (fault.word.empty() ? "" : " '" + fault.word + '\'') + '\n';
    if (!fault.nearest.empty()) {
        text += "did you mean '" + fault.nearest + "'?\n";
    }
    text += "expected:";
    for (const std::string &expected : fault.expected) {
        text += ' ' + expected + (&expected == &fault.expected.back() ? "\n" : ",");
    }
}

void appendMissing(std::string &text, const std::vector<missing_answer> &missing)
{
    for (std::size_t index = 0; index < std::min(missing.size(), maxListedMissing); ++index) {
        const missing_answer &entry = missing[index];
        text += "no answer from " + (entry.host.empty() ? "data centre " + entry.dataCenter : entry.host + " (" + entry.dataCenter + ')') + ": " + entry.problem
            + '\n';
    }
    if (missing.size() > maxListedMissing) {
        text += "and " + std::to_string(missing.size() - maxListedMissing) + " more without an answer\n";
    }
}

std::string describe(const named_generation &named)
{
    return named.kind + '/' + named.name + " generation " + std::to_string(named.generation) + ", operation id " + named.operationId;
}
} // namespace

std::string formatDifference(const value_difference &difference)
{
    const std::string nothing = "(nothing)";
    return difference.path + ": " + (difference.before.empty() ? nothing : difference.before) + " -> "
        + (difference.after.empty() ? nothing : difference.after);
}

std::string formatResultText(const query_result &result)
{
    std::string text;
    for (const query_table &table : result.tables) {
        appendTable(text, table);
    }
    for (const value_difference &difference : result.differences) {
        text += formatDifference(difference) + '\n';
    }
    for (const change_fault &fault : result.faults) {
        text += fault.path + ": " + fault.problem + " (allowed: " + fault.allowed + ")\n";
    }
    if (result.parseFault) {
        appendParseFault(text, *result.parseFault);
    }
    appendMissing(text, result.missing);
    if (result.change) {
        text += "change: " + describe(*result.change) + '\n';
    }
    if (result.other) {
        text += "other change: " + describe(*result.other) + '\n';
    }
    text += std::string(statusName(result.status)) + ": " + result.summary + '\n';
    return text;
}

} // namespace cicadamux
