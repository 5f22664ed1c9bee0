/** @file prompt.cpp Interactive prompt for queries, with history and completion by libedit. */

#include "operator/admin_session_func.h"
#include "operator/command_parser_func.h"

#include <editline/readline.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

namespace cicadamux
{

namespace
{
constexpr int historySize = 1'000; // Lines.

/** Completions of the word under the cursor; libedit gets them one by one. Used only by the prompt's thread. */
std::vector<std::string> completions;
std::size_t nextCompletion = 0;

char *nextMatch(const char * /*text*/, int state)
{
    nextCompletion = state == 0 ? 0 : nextCompletion;
    return nextCompletion < completions.size() ? ::strdup(completions[nextCompletion++].c_str()) : nullptr; // Freed by libedit.
}

char **completeWord(const char *text, int start, int /*end*/)
{
    completions = nextWords(std::string_view(rl_line_buffer, static_cast<std::size_t>(start)));
    std::erase_if(completions, [text](const std::string &word) {
        return !word.starts_with(text) || (word.front() >= 'A' && word.front() <= 'Z');
    });
    rl_attempted_completion_over = 1; // Disables the completion of file names.
    return rl_completion_matches(text, nextMatch);
}

/** Reads a line. @return Nothing at the end of the input. */
std::optional<std::string> readLine(const char *prompt)
{
    if (::isatty(STDIN_FILENO) == 0) {
        std::string line;
        return std::getline(std::cin, line) ? std::optional(line) : std::nullopt;
    }
    const std::unique_ptr<char, decltype(&std::free)> line(readline(prompt), &std::free);
    if (!line) {
        return std::nullopt;
    }
    if (*line != '\0') {
        add_history(line.get());
    }
    return std::string(line.get());
}

void runChangeLine(const std::string &line, const admin_options &options, std::ostream &out)
{
    const query_result preview = previewChange(line, options);
    out << formatResultText(preview) << std::flush;
    if (preview.status != query_status::ok || preview.differences.empty()) {
        return;
    }
    const std::optional<std::string> answer = readLine("apply this change? [y/N] ");
    if (answer && (*answer == "y" || *answer == "yes")) {
        applyChange(line, preview, options, out);
    } else {
        out << "nothing was written\n";
    }
}
} // namespace

query_status runPrompt(const admin_options &options, std::ostream &out)
{
    rl_attempted_completion_function = completeWord;
    stifle_history(historySize);
    out << "cicadamux at " << options.address << "; `help` lists the commands, `quit` exits\n";
    while (const std::optional<std::string> line = readLine("cicadamux> ")) {
        if (*line == "quit" || *line == "exit") {
            break;
        }
        if (line->find_first_not_of(" \t") == std::string::npos) {
            continue;
        }
        if (isChangeLine(*line)) {
            runChangeLine(*line, options, out);
        } else {
            runAdminQuery(*line, options, out);
        }
    }
    return query_status::ok;
}

} // namespace cicadamux
