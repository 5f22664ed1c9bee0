/** @file command_line.cpp Subcommands of the program and their flags. */

#include "operator/command_line_func.h"

#include "operator/command_parser_func.h"
#include "operator/exit_code_type.h"
#include "operator/subcommands_func.h"
#include "settings/settings_func.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>

#include <array>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "settings file of the daemon");
ABSL_FLAG(std::string, admin, "127.0.0.1:7004", "admin address of any daemon, IP:port");
ABSL_FLAG(bool, json, false, "print the answer as JSON");
ABSL_FLAG(std::uint32_t, wait_s, 30, "seconds to wait until a change is in force everywhere; 0: don't wait");
ABSL_FLAG(std::uint32_t, time_limit_ms, 15'000, "longest wait for one answer of the daemon, in milliseconds");
ABSL_FLAG(bool, markdown, false, "print the help as a Markdown page");

namespace cicadamux
{

namespace
{
constexpr std::string_view version = "0.1.0";

using arguments = std::vector<std::string>;

daemon_runners runners; // Set by runCommandLine().

struct subcommand_row {
    std::string_view name; ///< One or two words.
    std::string_view usage; ///< What follows the name.
    std::string_view help;
    int (*run)(const arguments &rest);
};

int runHelp(const arguments &rest);

int toExitCode(query_status status)
{
    return static_cast<int>(status);
}

/** @throws usage_error if the number of arguments is out of range. */
void checkArgumentCount(const arguments &rest, std::size_t minCount, std::size_t maxCount, std::string_view expected)
{
    if (rest.size() < minCount || rest.size() > maxCount) {
        throw usage_error("expected " + std::string(expected));
    }
}

admin_options adminOptions()
{
    return {absl::GetFlag(FLAGS_admin),
            absl::GetFlag(FLAGS_json),
            clock_ms{absl::GetFlag(FLAGS_wait_s) * std::int64_t{1'000}},
            clock_ms{absl::GetFlag(FLAGS_time_limit_ms)}};
}

std::string settingsFile()
{
    std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        throw usage_error("expected --settings=FILE");
    }
    return file;
}

int runDaemonCommand(const arguments &rest)
{
    checkArgumentCount(rest, 0, 0, "no further words after daemon");
    return runners.daemon(loadSettings(settingsFile()));
}

int runSidecarCommand(const arguments &rest)
{
    checkArgumentCount(rest, 0, 0, "no further words after sidecar");
    return runners.sidecar(settingsFile());
}

int runSettingsCheck(const arguments &rest)
{
    checkArgumentCount(rest, 1, 1, "one settings file");
    loadSettings(rest.front());
    std::cout << rest.front() << ": ok\n";
    return toExitCode(query_status::ok);
}

int runSettingsExplain(const arguments &rest)
{
    checkArgumentCount(rest, 0, 0, "no further words after settings explain");
    std::cout << (absl::GetFlag(FLAGS_markdown) ? explainSettingsMarkdown() : explainSettings());
    return toExitCode(query_status::ok);
}

int runPolicyCheck(const arguments &rest)
{
    checkArgumentCount(rest, 1, maxPolicyFiles, "one or more policy files");
    return toExitCode(checkPolicyFiles(rest, std::cout));
}

int runQueryCommand(const arguments &rest)
{
    checkArgumentCount(rest, 1, 1, "one query, in quotes");
    return toExitCode(runAdminQuery(rest.front(), adminOptions(), std::cout));
}

int runPromptCommand(const arguments &rest)
{
    checkArgumentCount(rest, 0, 0, "no further words after prompt");
    return toExitCode(runPrompt(adminOptions(), std::cout));
}

int runVersion(const arguments &rest)
{
    checkArgumentCount(rest, 0, 0, "no further words after version");
    std::cout << "cicadamux " << version << '\n';
    return toExitCode(query_status::ok);
}

constexpr std::array<subcommand_row, 9> subcommands = {{
    {"daemon", "--settings=FILE", "Runs a daemon until SIGTERM or SIGINT, then stops it gracefully", runDaemonCommand},
    {"sidecar", "--settings=FILE", "Runs a sidecar: requests are routed by host and path; SIGTERM stops it gracefully", runSidecarCommand},
    {"settings check", "FILE", "Checks a settings file and lists all its faults", runSettingsCheck},
    {"settings explain", "[--markdown]", "Lists each setting with its type, unit, range and default", runSettingsExplain},
    {"policy check", "FILE...", "Checks policy files, each on its own and all together", runPolicyCheck},
    {"query", "'LINE' [--admin=ADDRESS] [--json] [--wait_s=N]", "Sends one query to a daemon and prints the answer", runQueryCommand},
    {"prompt", "[--admin=ADDRESS]", "Reads queries from the terminal, with history and completion, and sends them to a daemon", runPromptCommand},
    {"help", "[--markdown]", "Shows this help, or with --markdown the reference page of the query language", runHelp},
    {"version", "", "Shows the version", runVersion},
}};

std::string usageText()
{
    std::string text = "cicadamux: overload control for service call graphs\n\nSubcommands:\n";
    for (const subcommand_row &row : subcommands) {
        text += "  cicadamux " + std::string(row.name) + ' ' + std::string(row.usage) + "\n      " + std::string(row.help) + ".\n";
    }
    text += "\nExit codes:\n";
    for (const status_row &row : statusRows()) {
        text += "  " + std::to_string(toExitCode(row.status)) + "  " + std::string(row.name) + ": " + std::string(row.help) + ".\n";
    }
    return text;
}

int runHelp(const arguments & /*rest*/)
{
    std::cout << (absl::GetFlag(FLAGS_markdown) ? explainLanguageMarkdown() : usageText());
    return toExitCode(query_status::ok);
}

/** Checks a flag before Abseil parses it, because Abseil exits the process with its own exit code on an error. @throws usage_error */
void checkFlag(std::string_view argument)
{
    const std::string_view body = argument.substr(argument.starts_with("--") ? 2 : 1);
    const auto equals = body.find('=');
    const std::string_view name = body.substr(0, equals);
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()));
    if (flag == nullptr || flag->Filename().find("command_line.cpp") == std::string::npos) {
        throw usage_error("unknown flag --" + std::string(name));
    }
    if (equals == std::string_view::npos) {
        if (!flag->IsOfType<bool>()) {
            throw usage_error("flag --" + std::string(name) + " needs a value: --" + std::string(name) + "=VALUE");
        }
        return;
    }
    const std::string value(body.substr(equals + 1));
    std::string problem;
    if (!flag->ParseFrom(value, &problem)) {
        throw usage_error("flag --" + std::string(name) + ": " + problem);
    }
}

arguments parseFlags(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        const std::string_view argument = argv[index];
        if (argument == "--") {
            break;
        }
        if (argument == "--help") {
            return {"help"};
        }
        if (argument.size() > 1 && argument.starts_with('-')) {
            checkFlag(argument);
        }
    }
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    return {words.begin() + 1, words.end()};
}

/** Removes a subcommand's name from the front of the words. @return False if they don't begin with it. */
bool consumeName(std::string_view name, arguments &words)
{
    const auto blank = name.find(' ');
    const std::size_t count = blank == std::string_view::npos ? 1 : 2;
    if (words.size() < count || words[0] != name.substr(0, blank) || (count == 2 && words[1] != name.substr(blank + 1))) {
        return false;
    }
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
    return true;
}

int dispatch(arguments words)
{
    if (words.empty()) {
        throw usage_error("expected a subcommand");
    }
    for (const subcommand_row &row : subcommands) {
        if (consumeName(row.name, words)) {
            return row.run(words);
        }
    }
    throw usage_error("unknown subcommand " + words[0]);
}
} // namespace

int runCommandLine(int argc, char **argv, daemon_runners daemonRunners)
{
    runners = std::move(daemonRunners);
    try {
        return dispatch(parseFlags(argc, argv));
    } catch (const usage_error &exception) {
        std::cerr << "cicadamux: " << exception.what() << "; see `cicadamux help`\n";
        return toExitCode(query_status::usage);
    } catch (const settings_error &exception) {
        std::cerr << "cicadamux: " << exception.what() << '\n';
        return toExitCode(query_status::refused);
    } catch (const error &exception) {
        std::cerr << "cicadamux: " << exception.what() << '\n';
        return toExitCode(query_status::failed);
    } catch (const std::exception &exception) {
        std::cerr << "cicadamux: unexpected error: " << exception.what() << '\n';
        return toExitCode(query_status::failed);
    }
}

} // namespace cicadamux
