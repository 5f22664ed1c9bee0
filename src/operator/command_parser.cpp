/** @file command_parser.cpp Matches a line against the grammars of the table. */

#include "operator/command_parser_func.h"

#include "operator/command_table.h"
#include "operator/tokenizer_func.h"
#include "operator/value_parser_func.h"

#include <algorithm>
#include <numeric>

namespace cicadamux
{

namespace
{
using detail::command_row;
using detail::matched_values;
using detail::placeholder_row;
using detail::query_word;

constexpr std::string_view endOfLine = "end of line";

/** The words of a grammar: the required ones, then the optional parts. */
struct parsed_grammar {
    std::vector<std::string_view> required;
    std::vector<std::vector<std::string_view>> optional;
};

/** Result of matching a line against a grammar. */
struct match_result {
    bool matched = false;
    std::size_t reached = 0; ///< Index of the first word that doesn't match.
    std::vector<std::string_view> expected; ///< Grammar words that are allowed there.
    matched_values values;
};

parsed_grammar parseGrammar(std::string_view grammar)
{
    parsed_grammar parsed;
    std::vector<std::string_view> *part = &parsed.required;
    while (!grammar.empty()) {
        const auto end = std::min(grammar.find(' '), grammar.size());
        std::string_view word = grammar.substr(0, end);
        if (word.starts_with('[')) {
            part = &parsed.optional.emplace_back();
            word.remove_prefix(1);
        }
        if (word.ends_with(']')) {
            word.remove_suffix(1);
        }
        part->push_back(word);
        grammar.remove_prefix(std::min(end + 1, grammar.size()));
    }
    return parsed;
}

const placeholder_row *findPlaceholder(std::string_view word)
{
    const auto rows = detail::placeholderRows();
    const auto found = std::ranges::find(rows, word, &placeholder_row::name);
    return found == rows.end() ? nullptr : &*found;
}

bool acceptsWord(const placeholder_row &row, std::string_view word)
{
    return row.accepts != nullptr ? row.accepts(word) : std::ranges::find(row.choices, word) != row.choices.end();
}

/** Matches one grammar word; stores the value of a placeholder. */
bool matchWord(std::string_view expected, const query_word &word, matched_values &values)
{
    const placeholder_row *placeholder = findPlaceholder(expected);
    if (placeholder == nullptr) {
        return word.text == expected;
    }
    if (!acceptsWord(*placeholder, word.text)) {
        return false;
    }
    values.add(expected, word.text);
    return true;
}

/** Matches a sequence of grammar words from `result.reached` on. */
bool matchSequence(const std::vector<std::string_view> &sequence, const std::vector<query_word> &words, match_result &result)
{
    for (const std::string_view expected : sequence) {
        if (result.reached >= words.size() || !matchWord(expected, words[result.reached], result.values)) {
            result.expected = {expected};
            return false;
        }
        ++result.reached;
    }
    return true;
}

match_result matchRow(const command_row &row, const std::vector<query_word> &words)
{
    parsed_grammar grammar = parseGrammar(row.grammar);
    match_result result;
    if (!matchSequence(grammar.required, words, result)) {
        return result;
    }
    while (result.reached < words.size()) {
        const auto matchesPart = [&](const std::vector<std::string_view> &part) {
            matched_values ignored;
            return matchWord(part.front(), words[result.reached], ignored);
        };
        const auto part = std::ranges::find_if(grammar.optional, matchesPart);
        if (part == grammar.optional.end()) {
            break;
        }
        if (!matchSequence(*part, words, result)) {
            return result;
        }
        grammar.optional.erase(part);
    }
    result.matched = result.reached == words.size();
    for (const auto &part : grammar.optional) {
        result.expected.push_back(part.front());
    }
    result.expected.push_back(endOfLine);
    return result;
}

/** Number of single-character edits that turn one word into the other (Levenshtein). */
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({substituted, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

/** @return The literal words that match a grammar word; none for a placeholder without a fixed set of values. */
std::vector<std::string_view> literalWords(std::string_view expected)
{
    const placeholder_row *placeholder = findPlaceholder(expected);
    if (placeholder == nullptr) {
        return expected == endOfLine ? std::vector<std::string_view>{} : std::vector<std::string_view>{expected};
    }
    return {placeholder->choices.begin(), placeholder->choices.end()};
}

std::string nearestWord(std::string_view word, const std::vector<std::string_view> &expected)
{
    constexpr std::size_t maxComparedLength = 64; // Longer words resemble no word of the grammar.
    std::string_view nearest;
    std::size_t bestDistance = std::max<std::size_t>(word.size() / 2, 1) + 1;
    if (word.empty() || word.size() > maxComparedLength) {
        return {};
    }
    for (const std::string_view grammarWord : expected) {
        for (const std::string_view candidate : literalWords(grammarWord)) {
            const std::size_t distance = editDistance(word, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                nearest = candidate;
            }
        }
    }
    return std::string(nearest);
}

std::string describeExpected(std::string_view expected)
{
    const placeholder_row *placeholder = findPlaceholder(expected);
    return placeholder == nullptr ? std::string(expected) : std::string(expected) + " (" + std::string(placeholder->allowed) + ')';
}

/** The mismatch furthest into the line over all commands; the expected words of mismatches at the same word are merged. */
struct furthest_failure {
    std::size_t reached = 0;
    std::vector<std::string_view> expected;

    void merge(const match_result &result)
    {
        if (result.reached > reached) {
            reached = result.reached;
            expected.clear();
        }
        if (result.reached < reached) {
            return;
        }
        for (const std::string_view word : result.expected) {
            if (std::ranges::find(expected, word) == expected.end()) {
                expected.push_back(word);
            }
        }
    }
};

parse_fault makeFault(std::string_view line, const std::vector<query_word> &words, const furthest_failure &failure)
{
    parse_fault fault;
    const bool atEnd = failure.reached >= words.size();
    fault.position = atEnd ? line.size() : words[failure.reached].position;
    fault.word = atEnd ? "" : words[failure.reached].text;
    const bool onlyPlaceholders = std::ranges::all_of(failure.expected, [](std::string_view word) {
        return findPlaceholder(word) != nullptr;
    });
    fault.problem = atEnd ? "missing word" : onlyPlaceholders ? "malformed value" : "unknown word";
    for (const std::string_view word : failure.expected) {
        fault.expected.push_back(describeExpected(word));
    }
    fault.nearest = nearestWord(fault.word, failure.expected);
    return fault;
}

/** Removes `from generation N` from the end of a line. @return N; nothing if the line doesn't end so. */
std::optional<std::uint64_t> removeFromGeneration(std::vector<query_word> &words)
{
    constexpr std::size_t length = 3;
    if (words.size() <= length || words[words.size() - 3].text != "from" || words[words.size() - 2].text != "generation") {
        return std::nullopt;
    }
    const auto generation = detail::parseUnsigned(words.back().text);
    if (generation) {
        words.resize(words.size() - length);
    }
    return generation;
}

/** Stores `preview` and `from generation N` in a change. @throws parse_error if the command isn't a change. */
command applyModifiers(command parsed, bool previewOnly, std::optional<std::uint64_t> fromGeneration, const query_word &first)
{
    auto *change = std::get_if<change_command>(&parsed);
    if (change == nullptr && (previewOnly || fromGeneration)) {
        throw parse_error({first.position, first.text, "unknown word", {"set", "replace"}, ""});
    }
    if (change != nullptr) {
        change->previewOnly = previewOnly;
        change->fromGeneration = fromGeneration;
    }
    return parsed;
}
} // namespace

parse_error::parse_error(parse_fault fault)
    : error("position " + std::to_string(fault.position) + ": " + fault.problem)
    , m_fault(std::move(fault))
{
}

command parseCommand(std::string_view line)
{
    std::vector<query_word> words = detail::splitWords(line);
    const bool previewOnly = !words.empty() && words.front().text == "preview";
    if (previewOnly) {
        words.erase(words.begin());
    }
    const auto fromGeneration = removeFromGeneration(words);
    furthest_failure failure;
    for (const command_row &row : detail::commandRows()) {
        const match_result result = matchRow(row, words);
        if (result.matched) {
            return applyModifiers(row.build(result.values), previewOnly, fromGeneration, words.front());
        }
        failure.merge(result);
    }
    throw parse_error(makeFault(line, words, failure));
}

std::vector<std::string> nextWords(std::string_view beginning)
{
    std::vector<query_word> words;
    try {
        words = detail::splitWords(beginning);
    } catch (const parse_error &) {
        return {};
    }
    furthest_failure failure;
    for (const command_row &row : detail::commandRows()) {
        failure.merge(matchRow(row, words));
    }
    std::vector<std::string> next;
    if (failure.reached < words.size()) {
        return next;
    }
    for (const std::string_view expected : failure.expected) {
        const auto literals = literalWords(expected);
        next.insert(next.end(), literals.begin(), literals.end());
        if (literals.empty() && expected != endOfLine) {
            next.emplace_back(expected);
        }
    }
    return next;
}

} // namespace cicadamux
