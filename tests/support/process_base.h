/** @file process_base.h Child processes of tests and measurements, which are killed with their parent. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cicadamux::test
{

/** A child process couldn't be started, ended unexpectedly or timed out. */
class process_error : public error
{
public:
    using error::error;
};

struct process_options {
    std::string program; ///< Path; see programPath().
    std::vector<std::string> arguments; ///< Without the program's name.
    std::string errorFile; ///< Standard error is appended to this file; empty: inherited from the parent.
};

/**
 * One child process. The destructor kills it, and so does the kernel when the thread that started it ends
 * (PR_SET_PDEATHSIG), so processes must be started on the main thread.
 */
class process
{
public:
    /** @throws process_error if the program can't be started. */
    explicit process(const process_options &options);
    ~process();
    process(process &&other) noexcept;
    process &operator=(process &&) = delete;
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    pid_t pid() const;

    /**
     * Waits for a line on standard output that begins with `prefix`.
     * @return The rest of the line.
     * @throws process_error if the process ends or the timeout expires first.
     */
    std::string waitForLine(std::string_view prefix, clock_ms timeout);

    /** Sends SIGTERM for a graceful stop. Several processes can be signalled before the first wait(). */
    void requestStop();

    /**
     * Waits until the process exits.
     * @return The exit code, or the negated number of the signal that killed it.
     * @throws process_error if the timeout expires; the process is then killed.
     */
    int wait(clock_ms timeout);

    /** Calls requestStop() and wait(). */
    int stop(clock_ms timeout);

    /** Kills the process (SIGKILL), as if its host had failed. */
    void kill();

    /** Suspends the process (SIGSTOP) until resume(). */
    void pause();

    void resume();

    bool isRunning();

private:
    void send(int signal);

    std::string m_program;
    pid_t m_pid = -1; ///< -1 once the process has been reaped.
    int m_output = -1; ///< Read end of the pipe from its standard output.
    std::string m_unread; ///< Output that waitForLine() hasn't consumed yet.
    int m_exitCode = 0;
};

/** @return The path of a program of this build: `cicadamux`, `platform_standin`, `backend_standin`, `load`. */
std::string programPath(std::string_view name);

} // namespace cicadamux::test
