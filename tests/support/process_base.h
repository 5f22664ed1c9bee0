/** @file process_base.h Processes that a test or a measurement starts, and that never outlive it. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cicadamux::test
{

/** A started process doesn't do what it should. */
class process_error : public error
{
public:
    using error::error;
};

struct process_options {
    std::string program; ///< Path; see programPath().
    std::vector<std::string> arguments; ///< Without the program's name.
    std::string errorFile; ///< Standard error is appended to it; empty: this process's own.
};

/**
 * One child process. It is killed when this object goes, and by the kernel when the thread that started it ends
 * (PR_SET_PDEATHSIG), so start processes on the main thread.
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
     * @throws process_error if the process ends or the time is over before.
     */
    std::string waitForLine(std::string_view prefix, clock_ms timeout);

    /** Sends SIGTERM: the planned stop. Several can be asked before the first wait(). */
    void askToStop();

    /**
     * Waits for the end.
     * @return The exit code, or minus the number of the signal that ended it.
     * @throws process_error, after SIGKILL, if the time is over.
     */
    int wait(clock_ms timeout);

    /** askToStop() and wait(). */
    int stop(clock_ms timeout);

    /** Ends it at once (SIGKILL), as if its host had failed. */
    void kill();

    /** Stops its time (SIGSTOP) until resume(). */
    void pause();

    void resume();

    /** @return Whether it hasn't ended. */
    bool isRunning();

private:
    void send(int signal);

    std::string m_program;
    pid_t m_pid = -1; ///< Minus one once it has been waited for.
    int m_output = -1; ///< Read end of its standard output.
    std::string m_unread; ///< Output that is not yet a whole line.
    int m_exitCode = 0;
};

/** @return Path of a program of this build: `cicadamux`, `platform_standin`, `backend_standin`, `load`. */
std::string programPath(std::string_view name);

} // namespace cicadamux::test
