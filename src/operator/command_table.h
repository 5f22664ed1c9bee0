/** @file command_table.h The table of the operators' commands: grammar, help, example, and what each one makes. */

#pragma once

#include "operator/command_type.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

/** The values that a line gives for the placeholders of a grammar. */
class matched_values
{
public:
    void add(std::string_view placeholder, std::string value);

    /** @return The value; empty if its optional part is absent. */
    const std::string &text(std::string_view placeholder) const;

    bool has(std::string_view placeholder) const;

private:
    struct matched_value {
        std::string_view placeholder;
        std::string value;
    };
    std::vector<matched_value> m_values;
};

/** What may stand in place of a word in capitals. */
struct placeholder_row {
    std::string_view name; ///< As in grammars.
    std::string_view allowed; ///< For people.
    bool (*accepts)(std::string_view word); ///< Null if `choices` tells.
    std::span<const std::string_view> choices; ///< The only words that may stand there, if any.
};

/**
 * One command. In a grammar, words in small letters stand for themselves, words in capitals are placeholders,
 * and parts in square brackets may be absent and stand in any order at the end of the line.
 */
struct command_row {
    std::string_view grammar;
    std::string_view help;
    std::string_view example;
    command (*build)(const matched_values &values);
};

std::span<const placeholder_row> placeholderRows();
std::span<const command_row> commandRows();

} // namespace cicadamux::detail
