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

/** The words of a grammar: what must come, then the parts that may come. */
struct parsed_grammar {
    std::vector<std::string_view> required;
    std::vector<std::vector<std::string_view>> optional;
};

/** Where matching a grammar ended. */
struct match_result {
    bool matched = false;
    std::size_t reached = 0; ///< Index of the word that doesn't match.
    std::vector<std::string_view> expected; ///< Grammar words that may stand there.
    matched_values values;
};

parsed_grammar parseGrammar(std::string_view grammar)
{
    parsed_grammar parsed;
    std::vector<std::string_view> *into = &parsed.required;
    while (!grammar.empty()) {
        const auto end = std::min(grammar.find(' '), grammar.size());
        std::string_view word = grammar.substr(0, end);
        if (word.starts_with('[')) {
            into = &parsed.optional.emplace_back();
            word.remove_prefix(1);
        }
        if (word.ends_with(']')) {
            word.remove_suffix(1);
        }
        into->push_back(word);
        grammar.remove_prefix(std::min(end + 1, grammar.size()));
    }
    return parsed;
}

const placeholder_row *placeholderOf(std::string_view word)
{
    const auto rows = detail::placeholderRows();
    const auto found = std::ranges::find(rows, word, &placeholder_row::name);
    return found == rows.end() ? nullptr : &*found;
}

bool acceptsWord(const placeholder_row &row, std::string_view word)
{
    return row.accepts != nullptr ? row.accepts(word) : std::ranges::find(row.choices, word) != row.choices.end();
}

/** Matches one grammar word; keeps the value of a placeholder. */
bool matchWord(std::string_view expected, const query_word &word, matched_values &values)
{
    const placeholder_row *placeholder = placeholderOf(expected);
    if (placeholder == nullptr) {
        return word.text == expected;
    }
    if (!acceptsWord(*placeholder, word.text)) {
        return false;
    }
    values.add(expected, word.text);
    return true;
}

/** Matches a run of grammar words from `result.reached` on. */
bool matchRun(const std::vector<std::string_view> &run, const std::vector<query_word> &words, match_result &result)
{
    for (const std::string_view expected : run) {
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
    if (!matchRun(grammar.required, words, result)) {
        return result;
    }
    while (result.reached < words.size()) {
        const auto fits = [&](const std::vector<std::string_view> &part) {
            matched_values ignored;
            return matchWord(part.front(), words[result.reached], ignored);
        };
        const auto part = std::ranges::find_if(grammar.optional, fits);
        if (part == grammar.optional.end()) {
            break;
        }
        if (!matchRun(*part, words, result)) {
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

/** The words that people may type for a grammar word. */
std::vector<std::string_view> wordsFor(std::string_view expected)
{
    const placeholder_row *placeholder = placeholderOf(expected);
    if (placeholder == nullptr) {
        return expected == endOfLine ? std::vector<std::string_view>{} : std::vector<std::string_view>{expected};
    }
    return {placeholder->choices.begin(), placeholder->choices.end()};
}

std::string nearestWord(std::string_view word, const std::vector<std::string_view> &expected)
{
    constexpr std::size_t longestWord = 64; // Longer ones are similar to nothing.
    std::string_view nearest;
    std::size_t least = std::max<std::size_t>(word.size() / 2, 1) + 1;
    if (word.empty() || word.size() > longestWord) {
        return {};
    }
    for (const std::string_view grammarWord : expected) {
        for (const std::string_view candidate : wordsFor(grammarWord)) {
            const std::size_t distance = editDistance(word, candidate);
            if (distance < least) {
                least = distance;
                nearest = candidate;
            }
        }
    }
    return std::string(nearest);
}

std::string describeExpected(std::string_view expected)
{
    const placeholder_row *placeholder = placeholderOf(expected);
    return placeholder == nullptr ? std::string(expected) : std::string(expected) + " (" + std::string(placeholder->allowed) + ')';
}

/** The failure that came furthest; those that came equally far are joined. */
struct furthest_failure {
    std::size_t reached = 0;
    std::vector<std::string_view> expected;

    void join(const match_result &result)
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
        return placeholderOf(word) != nullptr;
    });
    fault.problem = atEnd ? "missing word" : onlyPlaceholders ? "malformed value" : "unknown word";
    for (const std::string_view word : failure.expected) {
        fault.expected.push_back(describeExpected(word));
    }
    fault.nearest = nearestWord(fault.word, failure.expected);
    return fault;
}

/** Takes `from generation N` off the end. */
std::optional<std::uint64_t> takeFromGeneration(std::vector<query_word> &words)
{
    constexpr std::size_t length = 3;
    if (words.size() <= length || words[words.size() - 3].text != "from" || words[words.size() - 2].text != "generation") {
        return std::nullopt;
    }
    const auto generation = detail::parseWhole(words.back().text);
    if (generation) {
        words.resize(words.size() - length);
    }
    return generation;
}

/** Puts what stands around a change into it. @throws parse_error if the command isn't a change. */
command decorate(command parsed, bool previewOnly, std::optional<std::uint64_t> fromGeneration, const query_word &first)
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

parse_error::parse_error(parse_fault found)
    : error("position " + std::to_string(found.position) + ": " + found.problem)
    , m_fault(std::move(found))
{
}

command parseCommand(std::string_view line)
{
    std::vector<query_word> words = detail::splitWords(line);
    const bool previewOnly = !words.empty() && words.front().text == "preview";
    if (previewOnly) {
        words.erase(words.begin());
    }
    const auto fromGeneration = takeFromGeneration(words);
    furthest_failure failure;
    for (const command_row &row : detail::commandRows()) {
        const match_result result = matchRow(row, words);
        if (result.matched) {
            return decorate(row.build(result.values), previewOnly, fromGeneration, words.front());
        }
        failure.join(result);
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
        failure.join(matchRow(row, words));
    }
    std::vector<std::string> next;
    if (failure.reached < words.size()) {
        return next;
    }
    for (const std::string_view expected : failure.expected) {
        const auto typed = wordsFor(expected);
        next.insert(next.end(), typed.begin(), typed.end());
        if (typed.empty() && expected != endOfLine) {
            next.emplace_back(expected);
        }
    }
    return next;
}

} // namespace cicadamux
