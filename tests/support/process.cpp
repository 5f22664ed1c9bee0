/** @file process.cpp Child processes of tests and measurements, which are killed with their parent. */

#include "support/process_base.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms pollPeriod{5};
constexpr int execFailed = 127;

void closeFile(int &file)
{
    if (file >= 0) {
        ::close(file);
        file = -1;
    }
}

/** Runs in the child between fork() and exec(), so only async-signal-safe calls are allowed. */
[[noreturn]] void becomeProgram(pid_t parent, int output, const char *errorFile, char *const *arguments)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(execFailed);
    }
    ::dup2(output, STDOUT_FILENO);
    if (*errorFile != '\0') {
        constexpr int ownerReadWrite = 0600;
        const int file = ::open(errorFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerReadWrite);
        ::dup2(file, STDERR_FILENO);
    }
    ::execv(arguments[0], arguments);
    ::_exit(execFailed);
}
} // namespace

process::process(const process_options &options)
    : m_program(options.program)
{
    std::vector<char *> arguments{m_program.data()};
    std::vector<std::string> copies = options.arguments;
    for (std::string &argument : copies) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        throw process_error("can't create a pipe for the output of " + m_program);
    }
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        becomeProgram(parent, ends[1], options.errorFile.c_str(), arguments.data());
    }
    closeFile(ends[1]);
    m_output = ends[0];
    if (m_pid < 0) {
        closeFile(m_output);
        throw process_error("can't start " + m_program);
    }
}

process::~process()
{
    kill();
    closeFile(m_output);
}

process::process(process &&other) noexcept
    : m_program(std::move(other.m_program))
    , m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::exchange(other.m_output, -1))
    , m_unread(std::move(other.m_unread))
    , m_exitCode(other.m_exitCode)
{
}

pid_t process::pid() const
{
    return m_pid;
}

std::string process::waitForLine(std::string_view prefix, clock_ms timeout)
{
    const clock_ms end = steadyNow() + timeout;
    while (true) {
        const auto newline = m_unread.find('\n');
        if (newline != std::string::npos) {
            const std::string line = m_unread.substr(0, newline);
            m_unread.erase(0, newline + 1);
            if (line.starts_with(prefix)) {
                return line.substr(prefix.size());
            }
            continue;
        }
        pollfd ready{m_output, POLLIN, 0};
        const clock_ms remaining = end - steadyNow();
        char bytes[4096];
        const bool isReadable = remaining.count > 0 && ::poll(&ready, 1, static_cast<int>(remaining.count)) > 0;
        const ssize_t count = isReadable ? ::read(m_output, bytes, sizeof bytes) : 0;
        if (count <= 0) {
            throw process_error(m_program + " ended or timed out before it printed a line that begins with: " + std::string(prefix));
        }
        m_unread.append(bytes, static_cast<std::size_t>(count));
    }
}

void process::requestStop()
{
    send(SIGTERM);
}

bool process::isRunning()
{
    if (m_pid < 0) {
        return false;
    }
    int status = 0;
    const pid_t ended = ::waitpid(m_pid, &status, WNOHANG);
    if (ended == 0) {
        return true;
    }
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    m_pid = -1;
    return false;
}

int process::wait(clock_ms timeout)
{
    const clock_ms end = steadyNow() + timeout;
    while (isRunning()) {
        if (steadyNow() > end) {
            kill();
            throw process_error(m_program + " didn't exit within the timeout and was killed");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pollPeriod.count));
    }
    return m_exitCode;
}

int process::stop(clock_ms timeout)
{
    requestStop();
    return wait(timeout);
}

void process::kill()
{
    if (!isRunning()) {
        return;
    }
    send(SIGKILL);
    int status = 0;
    while (::waitpid(m_pid, &status, 0) < 0 && errno == EINTR) { }
    m_exitCode = -SIGKILL;
    m_pid = -1;
}

void process::pause()
{
    send(SIGSTOP);
}

void process::resume()
{
    send(SIGCONT);
}

void process::send(int signal)
{
    if (isRunning()) {
        ::kill(m_pid, signal);
    }
}

std::string programPath(std::string_view name)
{
    const std::string folder = name == "cicadamux" ? "/src/" : "/tests/";
    return CICADAMUX_BINARY_DIR + folder + std::string(name);
}

} // namespace cicadamux::test
