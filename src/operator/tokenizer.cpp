/** @file tokenizer.cpp Splits a line into words. */

#include "operator/tokenizer_func.h"

#include "operator/command_type.h"
#include "operator/query_func.h"

namespace cicadamux::detail
{

namespace
{
constexpr std::string_view blanks = " \t\r\n";

[[noreturn]] void throwMalformed(std::size_t position, std::string expected)
{
    throw parse_error({position, "", "malformed line", {std::move(expected)}, ""});
}

/** Finds the byte after the brace that closes the one at `begin`. */
std::size_t endOfJson(std::string_view line, std::size_t begin)
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t position = begin; position < line.size(); ++position) {
        const char character = line[position];
        if (quoted) {
            position += character == '\\' ? 1 : 0;
            quoted = character != '"';
        } else if (character == '"') {
            quoted = true;
        } else if (character == '{') {
            ++depth;
        } else if (character == '}' && --depth == 0) {
            return position + 1;
        }
    }
    throwMalformed(begin, "JSON object with its closing brace");
}

std::size_t endOfWord(std::string_view line, std::size_t begin)
{
    const std::size_t end = std::min(line.find_first_of(blanks, begin), line.size());
    if (end - begin > maxWordLength) {
        throwMalformed(begin, "word of at most " + std::to_string(maxWordLength) + " bytes");
    }
    return end;
}

bool isAllowedCharacter(char character)
{
    return (character >= ' ' && character <= '~') || blanks.find(character) != std::string_view::npos;
}

void checkCharacters(std::string_view line)
{
    for (std::size_t position = 0; position < line.size(); ++position) {
        if (!isAllowedCharacter(line[position])) {
            throwMalformed(position, "printable ASCII character; in JSON, use \\u escapes for others");
        }
    }
}
} // namespace

std::vector<query_word> splitWords(std::string_view line)
{
    if (line.size() > maxQueryLength) {
        throwMalformed(maxQueryLength, "line of at most " + std::to_string(maxQueryLength) + " bytes");
    }
    checkCharacters(line);
    std::vector<query_word> words;
    std::size_t position = line.find_first_not_of(blanks);
    while (position != std::string_view::npos) {
        if (words.size() >= maxWords) {
            throwMalformed(position, "at most " + std::to_string(maxWords) + " words");
        }
        const std::size_t end = line[position] == '{' ? endOfJson(line, position) : endOfWord(line, position);
        words.push_back({std::string(line.substr(position, end - position)), position});
        position = line.find_first_not_of(blanks, end);
    }
    return words;
}

} // namespace cicadamux::detail
