/** @file query_result_json.cpp JSON form of query results. */

#include "operator/query_result_type.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cicadamux
{

namespace
{
namespace json = boost::json;

/** Replaces characters other than printable ASCII, which could make invalid JSON: names in records may come from the network. */
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text,
        [](char character) {
            return character < ' ' || character > '~';
        },
        '?');
    return text;
}

json::value cellJson(const query_cell &cell)
{
    if (const auto *text = std::get_if<std::string>(&cell)) {
        return json::value(printable(*text));
    }
    return std::visit(
        [](const auto &value) {
            return json::value(value);
        },
        cell);
}

json::object tableJson(const query_table &table)
{
    json::object object;
    object["title"] = table.title;
    object["columns"] = json::value_from(table.columns);
    json::array &rows = object["rows"].emplace_array();
    for (const query_row &row : table.rows) {
        json::array &cells = rows.emplace_back(json::array()).get_array();
        for (const query_cell &cell : row) {
            cells.push_back(cellJson(cell));
        }
    }
    return object;
}

json::object generationJson(const named_generation &named)
{
    return {{"kind", named.kind}, {"name", named.name}, {"generation", named.generation}, {"operation_id", named.operationId}};
}

json::object parseFaultJson(const parse_fault &fault)
{
    return {{"position", fault.position},
            {"word", fault.word},
            {"problem", fault.problem},
            {"expected", json::value_from(fault.expected)},
            {"nearest", fault.nearest}};
}

/** Adds a list of elements, each formatted by `writeOne`; adds nothing if the list is empty. */
template<typename Element, typename Write>
void putList(json::object &into, std::string_view key, const std::vector<Element> &elements, Write writeOne)
{
    if (elements.empty()) {
        return;
    }
    json::array &list = into[key].emplace_array();
    for (const Element &element : elements) {
        list.push_back(writeOne(element));
    }
}

json::object missingJson(const missing_answer &entry)
{
    return {{"host", entry.host}, {"data_center", entry.dataCenter}, {"problem", entry.problem}};
}

json::object faultJson(const change_fault &fault)
{
    return {{"path", fault.path}, {"problem", fault.problem}, {"allowed", fault.allowed}};
}

json::object differenceJson(const value_difference &difference)
{
    return {{"path", difference.path}, {"before", difference.before}, {"after", difference.after}};
}

std::string textAt(const json::object &source, std::string_view key)
{
    return std::string(source.at(key).as_string());
}

std::vector<std::string> textsAt(const json::object &source, std::string_view key)
{
    return json::value_to<std::vector<std::string>>(source.at(key));
}

query_cell readCell(const json::value &value)
{
    if (value.is_string()) {
        return std::string(value.get_string());
    }
    if (value.is_int64()) {
        return value.get_int64();
    }
    return value.to_number<double>();
}

query_table readTable(const json::object &source)
{
    query_table table{textAt(source, "title"), textsAt(source, "columns"), {}};
    for (const json::value &cells : source.at("rows").as_array()) {
        query_row &row = table.rows.emplace_back();
        for (const json::value &cell : cells.as_array()) {
            row.push_back(readCell(cell));
        }
        if (row.size() != table.columns.size()) {
            throw query_result_error("a table row has " + std::to_string(row.size()) + " cells instead of " + std::to_string(table.columns.size()));
        }
    }
    return table;
}

named_generation readGeneration(const json::object &source)
{
    return {textAt(source, "kind"), textAt(source, "name"), source.at("generation").to_number<std::uint64_t>(), textAt(source, "operation_id")};
}

parse_fault readParseFault(const json::object &source)
{
    return {source.at("position").to_number<std::size_t>(),
            textAt(source, "word"),
            textAt(source, "problem"),
            textsAt(source, "expected"),
            textAt(source, "nearest")};
}

/** Reads a list that may be absent. */
template<typename Read>
void readList(const json::object &source, std::string_view key, Read readOne)
{
    if (const json::value *list = source.if_contains(key)) {
        for (const json::value &element : list->as_array()) {
            readOne(element.as_object());
        }
    }
}

query_result readResult(const json::object &source)
{
    query_result result;
    result.status = parseStatus(textAt(source, "status"));
    result.summary = textAt(source, "summary");
    readList(source, "tables", [&](const json::object &table) {
        result.tables.push_back(readTable(table));
    });
    readList(source, "missing", [&](const json::object &entry) {
        result.missing.push_back({textAt(entry, "host"), textAt(entry, "data_center"), textAt(entry, "problem")});
    });
    readList(source, "faults", [&](const json::object &fault) {
        result.faults.push_back({textAt(fault, "path"), textAt(fault, "problem"), textAt(fault, "allowed")});
    });
    readList(source, "differences", [&](const json::object &difference) {
        result.differences.push_back({textAt(difference, "path"), textAt(difference, "before"), textAt(difference, "after")});
    });
    if (const json::value *fault = source.if_contains("parse_fault")) {
        result.parseFault = readParseFault(fault->as_object());
    }
    if (const json::value *change = source.if_contains("change")) {
        result.change = readGeneration(change->as_object());
    }
    if (const json::value *base = source.if_contains("base")) {
        result.base = readGeneration(base->as_object());
    }
    if (const json::value *other = source.if_contains("other")) {
        result.other = readGeneration(other->as_object());
    }
    if (const json::value *reach = source.if_contains("reach_ms")) {
        result.reach = clock_ms{reach->to_number<std::int64_t>()};
    }
    return result;
}
} // namespace

std::string formatResultJson(const query_result &result)
{
    json::object object;
    object["status"] = statusName(result.status);
    object["summary"] = result.summary;
    putList(object, "tables", result.tables, tableJson);
    putList(object, "missing", result.missing, missingJson);
    putList(object, "faults", result.faults, faultJson);
    putList(object, "differences", result.differences, differenceJson);
    if (result.parseFault) {
        object["parse_fault"] = parseFaultJson(*result.parseFault);
    }
    if (result.change) {
        object["change"] = generationJson(*result.change);
    }
    if (result.base) {
        object["base"] = generationJson(*result.base);
    }
    if (result.other) {
        object["other"] = generationJson(*result.other);
    }
    if (result.reach) {
        object["reach_ms"] = result.reach->count;
    }
    return json::serialize(object);
}

query_result parseResultJson(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        throw query_result_error("the answer isn't a JSON object");
    }
    try {
        return readResult(parsed.get_object());
    } catch (const query_result_error &) {
        throw;
    } catch (const std::exception &exception) { // Boost.JSON throws these for absent keys and wrong types.
        throw query_result_error(std::string("the answer is malformed: ") + exception.what());
    }
}

} // namespace cicadamux
