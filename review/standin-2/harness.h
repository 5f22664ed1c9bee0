/**
 * Stand-ins of the platform, of backend servers and of clients for the scripts of this review, and control of the
 * project's processes. Blocking sockets, one thread a connection; loopback addresses only.
 */

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char **environ;

namespace harness
{

using headers_t = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

/** What was sent, answered and run; goes to record.txt. */
class record_file
{
public:
    static record_file &get()
    {
        static record_file file;
        return file;
    }

    void open(const std::string &path)
    {
        m_out.open(path, std::ios::trunc);
        m_start = nowMs();
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() - m_start << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_start = 0;
};

inline void note(const std::string &text)
{
    record_file::get().line(text);
}

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

struct message {
    std::string first; ///< Request line or status line.
    headers_t headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }

    std::string word(int index) const
    {
        std::istringstream words(first);
        std::string result;
        for (int each = 0; each <= index; ++each) {
            result.clear();
            words >> result;
        }
        return result;
    }

    std::string method() const
    {
        return word(0);
    }

    std::string target() const
    {
        return word(1);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/** A connected socket with a read buffer. */
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~connection()
    {
        close();
    }

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    void close()
    {
        const int descriptor = m_descriptor.exchange(-1);
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }

    /** Ends reads of another thread too; the descriptor stays until close(). */
    void shutdown()
    {
        if (m_descriptor >= 0) {
            ::shutdown(m_descriptor, SHUT_RDWR);
        }
    }

    int descriptor() const
    {
        return m_descriptor;
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** @return Whether bytes came before the instant. */
    bool fill(std::int64_t until)
    {
        pollfd state{m_descriptor, POLLIN, 0};
        const std::int64_t left = std::max<std::int64_t>(0, until - nowMs());
        if (::poll(&state, 1, static_cast<int>(left)) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_timedOut = false;
            m_isReset = count < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool timedOut() const
    {
        return m_timedOut;
    }

    /** Reads a message with a length or in chunks; nothing if it doesn't come whole in time. */
    std::optional<message> read(std::int64_t timeout, bool hasNoBody = false)
    {
        const std::int64_t until = nowMs() + timeout;
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message result;
        std::istringstream lines(m_buffer.substr(0, end));
        std::string line;
        std::getline(lines, line);
        result.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t start = line.find_first_not_of(" \t", colon + 1);
                result.headers.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
            }
        }
        m_buffer.erase(0, end + 4);
        if (hasNoBody) {
            return result;
        }
        if (lower(result.header("Transfer-Encoding")).find("chunked") != std::string::npos) {
            while (true) {
                std::size_t eol = std::string::npos;
                while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(until)) {
                        return std::nullopt;
                    }
                }
                const std::size_t size = std::stoul(m_buffer.substr(0, eol), nullptr, 16);
                while (m_buffer.size() < eol + 2 + size + 2) {
                    if (!fill(until)) {
                        return std::nullopt;
                    }
                }
                result.body += m_buffer.substr(eol + 2, size);
                m_buffer.erase(0, eol + 2 + size + 2);
                if (size == 0) {
                    return result;
                }
            }
        }
        const std::string length = result.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }

    std::string pending; ///< What a server still sends on it, ahead of its next answer.

private:
    std::atomic<int> m_descriptor;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_isReset = false;
};

using connection_pointer = std::shared_ptr<connection>;

inline sockaddr_in endpointOf(const std::string &address)
{
    sockaddr_in result{};
    const std::size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/** @param receiveBuffer SO_RCVBUF of a client that reads slowly; 0: the system's. */
inline connection_pointer connectTo(const std::string &address, int receiveBuffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in endpoint = endpointOf(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<connection>(descriptor);
}

/** A listener that serves each connection in a thread of its own. */
class listener
{
public:
    using serve_func = std::function<void(const connection_pointer &connected)>;

    listener(const std::string &address, serve_func serve)
        : m_serve(std::move(serve))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in endpoint = endpointOf(address);
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) != 0 || ::listen(m_descriptor, 1024) != 0) {
            throw std::runtime_error("can't listen on " + address);
        }
        m_thread = std::thread([this] {
            accept();
        });
    }

    ~listener()
    {
        stop();
    }

    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_thread.join();
        ::close(m_descriptor);
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &open : m_open) {
                open->shutdown();
            }
        }
        while (m_running > 0) {
            sleepMs(5);
        }
    }

private:
    void accept()
    {
        while (!m_isStopped) {
            const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (m_isStopped) {
                    return;
                }
                sleepMs(5);
                continue;
            }
            const auto connected = std::make_shared<connection>(descriptor);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(connected);
            }
            ++m_running;
            std::thread([this, connected] {
                m_serve(connected);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(connected);
                }
                connected->close();
                --m_running;
            }).detach();
        }
    }

    serve_func m_serve;
    int m_descriptor = -1;
    std::atomic<bool> m_isStopped{false};
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::set<connection_pointer> m_open;
    std::thread m_thread;
};

inline std::string makeResponse(int status, const headers_t &headers, const std::string &body)
{
    std::string result = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : headers) {
        result += name + ": " + value + "\r\n";
    }
    return result + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Stand-in of the platform's metadata store: objects, lists, watches, conditional writes. */
class store
{
public:
    explicit store(const std::string &address)
        : m_listener(address, [this](const connection_pointer &connected) {
            while (const auto request = connected->read(120'000)) {
                if (!connected->send(answer(*request))) {
                    return;
                }
            }
        })
    {
    }

    ~store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }

    /** The operator writes config/main. */
    void writeConfiguration(const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        change("config", "main", spec, false);
    }

    /** While it is away, the store answers every call with 503. */
    void setAway(bool isAway)
    {
        const std::lock_guard lock(m_mutex);
        m_isAway = isAway;
        m_changed.notify_all();
    }

    /** @return The spec of an object, or nothing. */
    std::string spec(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? std::string() : found->second.spec;
    }

private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        object content;
        bool removed = false;
    };

    static std::string format(const std::string &name, const object &content)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(content.revision) + R"(,"createRev":)"
            + std::to_string(content.created) + R"(,"finalizers":[],"deleting":false},"spec":)" + content.spec + R"(,"status":null})";
    }

    void change(const std::string &kind, const std::string &name, const std::string &spec, bool removed)
    {
        object &content = m_objects[kind][name];
        content.revision = ++m_revision;
        content.created = content.created == 0 ? m_revision : content.created;
        content.spec = removed ? content.spec : spec;
        m_events.push_back({m_revision, kind, name, content, removed});
        if (removed) {
            m_objects[kind].erase(name);
        }
        m_changed.notify_all();
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::size_t at = 0;
        while (at < query.size()) {
            const std::size_t end = std::min(query.find('&', at), query.size());
            const std::string pair = query.substr(at, end - at);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            at = end + 1;
        }
        return {};
    }

    /** The `spec` member of a body, found by its braces; the project's bodies hold no braces inside of texts. */
    static std::string specOf(const std::string &body)
    {
        const std::size_t at = body.find("\"spec\":");
        if (at == std::string::npos) {
            return "null";
        }
        const std::size_t start = at + 7;
        int depth = 0;
        for (std::size_t index = start; index < body.size(); ++index) {
            depth += body[index] == '{' ? 1 : 0;
            depth -= body[index] == '}' ? 1 : 0;
            if (depth == 0) {
                return body.substr(start, index + 1 - start);
            }
        }
        return "null";
    }

    static std::string memberOf(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":");
        if (at == std::string::npos) {
            return {};
        }
        std::size_t start = at + name.size() + 3;
        if (body[start] == '"') {
            return body.substr(start + 1, body.find('"', start + 1) - start - 1);
        }
        return body.substr(start, body.find_first_of(",}", start) - start);
    }

    static std::string reply(int status, const std::string &body)
    {
        return makeResponse(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body);
    }

    std::string answer(const message &request)
    {
        const std::string prefix = "/cicadamux/objects/";
        std::string path = request.target();
        const std::size_t question = path.find('?');
        const std::string query = question == std::string::npos ? "" : path.substr(question + 1);
        path = path.substr(0, question);
        if (path.rfind(prefix, 0) != 0) {
            return reply(404, "{}");
        }
        path = path.substr(prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (m_isAway) {
            return reply(503, "{}");
        }
        if (request.method() == "GET" && !parameter(query, "watch").empty()) {
            return watch(lock, kind, std::stoull(parameter(query, "watch")), std::stoll("0" + parameter(query, "waitMs")));
        }
        if (request.method() == "GET" && name.empty()) {
            std::string items;
            for (const auto &[each, content] : m_objects[kind]) {
                items += (items.empty() ? "" : ",") + format(each, content);
            }
            return reply(200, R"({"items":[)" + items + R"(],"hasMore":false,"atRev":)" + std::to_string(m_revision) + "}");
        }
        const bool creates = request.method() == "POST";
        name = creates ? memberOf(request.body, "name") : name;
        const auto found = m_objects[kind].find(name);
        if (creates ? found != m_objects[kind].end() : found == m_objects[kind].end()) {
            return creates ? reply(409, format(name, found->second)) : reply(404, "{}");
        }
        if (request.method() == "GET") {
            return reply(200, format(name, found->second));
        }
        const std::string revision = request.method() == "DELETE" ? parameter(query, "revision") : memberOf(request.body, "revision");
        if (!creates && !revision.empty() && std::stoull(revision) != found->second.revision) {
            return reply(409, format(name, found->second));
        }
        if (request.method() == "DELETE") {
            const object before = found->second;
            change(kind, name, {}, true);
            return reply(200, format(name, before));
        }
        change(kind, name, specOf(request.body), false);
        return reply(200, format(name, m_objects[kind][name]));
    }

    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t after, std::int64_t wait)
    {
        const std::int64_t until = nowMs() + wait;
        while (true) {
            std::string events;
            for (const event &each : m_events) {
                if (each.revision > after && each.kind == kind) {
                    events += (events.empty() ? "" : ",") + std::string(R"({"removed":)") + (each.removed ? "true" : "false") + R"(,"object":)"
                        + format(each.name, each.content) + "}";
                }
            }
            if (m_isAway) {
                return reply(503, "{}");
            }
            if (!events.empty() || nowMs() >= until || m_isStopped) {
                return reply(200, R"({"events":[)" + events + R"(],"atRev":)" + std::to_string(m_revision) + "}");
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(until - nowMs(), 1'000)));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<event> m_events;
    std::uint64_t m_revision = 10;
    bool m_isStopped = false;
    bool m_isAway = false;
    listener m_listener;
};

/** Where one machine listens; ports are the same on all. */
struct machine {
    std::string ip;
    std::string name;
    std::string zone = "zone-a";
    std::string service;

    std::string at(int port) const
    {
        return ip + ":" + std::to_string(port);
    }

    std::string inbound() const
    {
        return at(8300);
    }
    std::string app() const
    {
        return at(8301);
    }
    std::string ready() const
    {
        return at(8302);
    }
    std::string outbound() const
    {
        return at(8304);
    }
    std::string control() const
    {
        return at(8306);
    }
};

inline bool canBind(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = endpointOf(address);
    const bool isFree = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) == 0;
    ::close(descriptor);
    return isFree;
}

/** Draws a block of loopback addresses on which all ports of a machine are free. */
inline std::string drawNetwork()
{
    std::random_device device;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const std::string network = "127." + std::to_string(2 + device() % 250) + "." + std::to_string(device() % 250) + ".";
        bool isFree = true;
        for (int host = 1; host <= 24 && isFree; ++host) {
            for (const int port : {7620, 8300, 8301, 8302, 8304, 8306, 8309, 9464}) {
                isFree = isFree && canBind(network + std::to_string(host) + ":" + std::to_string(port));
            }
        }
        if (isFree) {
            return network;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

/** Stand-in of an application upstream: serves requests and sends heartbeats. */
class upstream
{
public:
    /** Answers a request; false ends the connection. */
    using handler_func = std::function<bool(upstream &self, const connection_pointer &connected, const message &request)>;

    upstream(const machine &host, std::uint32_t slots, handler_func handler)
        : m_host(host)
        , m_slots(slots)
        , m_handler(std::move(handler))
        , m_id("i-" + host.name)
        , m_listener(host.app(), [this](const connection_pointer &connected) {
            serve(connected);
        })
        , m_heartbeats([this] {
            sendHeartbeats();
        })
    {
    }

    ~upstream()
    {
        stop();
    }

    void stop()
    {
        if (!m_isStopped.exchange(true)) {
            m_heartbeats.join();
            m_listener.stop();
        }
    }

    const std::string &id() const
    {
        return m_id;
    }

    const machine &host() const
    {
        return m_host;
    }

    /** The headers of an answer to a request. */
    headers_t answerHeaders(const message &request) const
    {
        return {{"Cicadamux-Request-Id", request.header("Cicadamux-Request-Id")}, {"Cicadamux-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"}};
    }

    /** Leaves as an upstream that never reports `draining`: DELETE first; it serves on. @return Whether it was acknowledged. */
    bool leave()
    {
        m_isSilent = true;
        const auto control = connectTo(m_host.control());
        if (!control) {
            return false;
        }
        control->send("DELETE /cicadamux/instances/" + m_id + " HTTP/1.1\r\nHost: control\r\n\r\n");
        const auto answer = control->read(1'000);
        return answer && answer->status() == 200;
    }

    /** The heartbeat after the last one, which was sent before the upstream left and arrives only now. */
    bool sendLateHeartbeat()
    {
        return heartbeat(m_sequence + 1);
    }

    std::atomic<int> requests{0}; ///< Arrived, other than health checks.

private:
    void serve(const connection_pointer &connected)
    {
        while (const auto request = connected->read(30'000)) {
            if (request->target() == "/health") {
                connected->send(makeResponse(200, {{"Cicadamux-Instance-Id", m_id}}, ""));
                continue;
            }
            const std::string expected = request->header("Cicadamux-Expected-Instance");
            if (!expected.empty() && expected != m_id) {
                connected->send(makeResponse(421, {{"Cicadamux-Instance-Id", m_id}}, ""));
                continue;
            }
            ++requests;
            if (!m_handler(*this, connected, *request)) {
                return;
            }
        }
    }

    void sendHeartbeats()
    {
        std::int64_t next = 0;
        while (!m_isStopped) {
            if (!m_isSilent && nowMs() >= next) {
                const bool isAcknowledged = heartbeat(++m_sequence);
                next = nowMs() + (isAcknowledged ? 1'500 : 200);
            }
            sleepMs(20);
        }
    }

    bool heartbeat(std::uint64_t sequence)
    {
        const auto control = connectTo(m_host.control());
        if (!control) {
            return false;
        }
        const std::string body = R"({"address":")" + m_host.app() + R"(","born":)" + std::to_string(m_born) + R"(,"info":{"service":")" + m_host.service
            + R"(","version":"v1","zone":")" + m_host.zone + R"(","slots":)" + std::to_string(m_slots) + R"(},"status":{"state":"ready","seq":)"
            + std::to_string(sequence) + R"(,"coldRemaining":"0ms"}})";
        control->send("PUT /cicadamux/instances/" + m_id + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto answer = control->read(1'000);
        return answer && answer->status() == 200;
    }

    machine m_host;
    std::uint32_t m_slots;
    handler_func m_handler;
    std::string m_id;
    std::int64_t m_born = unixMs();
    std::atomic<bool> m_isStopped{false};
    std::atomic<bool> m_isSilent{false}; ///< Sends no more heartbeats.
    std::atomic<std::uint64_t> m_sequence{0};
    listener m_listener;
    std::thread m_heartbeats;
};

/** Processes of the project that run; ended also if a run takes too long. */
class started_processes
{
public:
    static started_processes &get()
    {
        static started_processes all;
        return all;
    }

    void add(pid_t process)
    {
        const std::lock_guard lock(m_mutex);
        m_processes.insert(process);
    }

    void remove(pid_t process)
    {
        const std::lock_guard lock(m_mutex);
        m_processes.erase(process);
    }

    void endAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const pid_t process : m_processes) {
            ::kill(process, SIGKILL);
        }
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_processes;
};

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

/** The project's sidecar on one machine, started with the command and the template of the deploy file. */
class sidecar
{
public:
    sidecar(const machine &host, const std::string &storeAddress, const std::string &folder)
        : m_host(host)
        , m_folder(folder)
        , m_storeAddress(storeAddress)
    {
        start(true);
    }

    ~sidecar()
    {
        kill(SIGKILL);
        wait();
    }

    sidecar(const sidecar &) = delete;
    sidecar &operator=(const sidecar &) = delete;

    void start(bool isFirst)
    {
        const std::string file = m_folder + "/" + m_host.name + ".json";
        std::ofstream(file) << settings(isFirst);
        std::vector<std::string> words;
        std::istringstream command(replaced(runCommand(), "/etc/cicadamux/boot.toml", file));
        for (std::string word; command >> word;) {
            words.push_back(word);
        }
        std::vector<char *> arguments;
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const std::string log = m_folder + "/" + m_host.name + ".log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_addopen(&actions, 2, (log + ".err").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (posix_spawn(&m_process, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
            throw std::runtime_error("can't start " + words[0]);
        }
        posix_spawn_file_actions_destroy(&actions);
        m_isRunning = true;
        started_processes::get().add(m_process);
        note("started " + m_host.name + ", process " + std::to_string(m_process));
    }

    void kill(int signal)
    {
        if (m_isRunning) {
            ::kill(m_process, signal);
        }
    }

    void wait()
    {
        if (m_isRunning.exchange(false)) {
            ::waitpid(m_process, nullptr, 0);
            started_processes::get().remove(m_process);
        }
    }

    bool hasEnded()
    {
        int status = 0;
        if (m_isRunning && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            m_isRunning = false;
            started_processes::get().remove(m_process);
            note(m_host.name + " ended by itself, status " + std::to_string(status));
        }
        return !m_isRunning;
    }

    pid_t process() const
    {
        return m_process;
    }

    /** @return Resident memory, in megabytes. */
    double memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::stod(line.substr(6)) * 1024 / 1e6;
            }
        }
        return 0;
    }

    bool isReady() const
    {
        const auto asked = connectTo(m_host.ready());
        if (!asked || !asked->send("GET /cicadamux/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        const auto answer = asked->read(1'000);
        return answer && answer->status() == 200;
    }

    /** The last lines of its log that hold a word. */
    std::vector<std::string> logLines(const std::string &word) const
    {
        std::vector<std::string> result;
        std::ifstream log(m_folder + "/" + m_host.name + ".log");
        for (std::string line; std::getline(log, line);) {
            if (line.find(word) != std::string::npos) {
                result.push_back(line);
            }
        }
        return result;
    }

private:
    static std::string runCommand()
    {
        const std::string text = readFile("deploy/system.toml");
        const std::size_t at = text.find("run = \"");
        return text.substr(at + 7, text.find('"', at + 7) - at - 7);
    }

    std::string settings(bool isFirst) const
    {
        std::string text = readFile("deploy/settings.json.template");
        const std::vector<std::pair<std::string, std::string>> values = {
            {"nodeName|json", "\"" + m_host.name + "\""},
            {"zone|json", "\"" + m_host.zone + "\""},
            {"listen.outbound|json", "\"" + m_host.outbound() + "\""},
            {"listen.control|json", "\"" + m_host.control() + "\""},
            {"listen.readyAddr|json", "\"" + m_host.ready() + "\""},
            {"ip", m_host.ip},
            {"internalPorts.0", "7620"},
            {"appAddr|json", "\"" + m_host.app() + "\""},
            {"service|json", "\"" + m_host.service + "\""},
            {"platformConfig.address|json", "\"" + m_storeAddress + "\""},
            {"bootstrap|json", isFirst ? "true" : "false"},
            {"heartbeat", "1500ms"},
            {"bounds.drain", "2000ms"},
            {"bounds.grace", "6s"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetWindow", "10s"},
            {"bounds.budgetSlack", "50"},
            {"limits.memoryMb", "260"},
        };
        for (const auto &[name, value] : values) {
            text = replaced(text, "{{" + name + "}}", value);
        }
        if (text.find("{{") != std::string::npos) {
            throw std::runtime_error("unknown placeholder in the template: " + text.substr(text.find("{{"), 40));
        }
        return text;
    }

    machine m_host;
    std::string m_folder;
    std::string m_storeAddress;
    pid_t m_process = -1;
    std::atomic<bool> m_isRunning{false};
};

/** One route of the configuration. */
struct route {
    std::string prefix; ///< Also its name.
    std::string kind;
    std::string service;
    std::string timeout = "5000ms";
    std::string target = "1500ms";
    int maxAttempts = 2;
};

inline const std::string hostName = "calls.example";

inline std::string configuration(std::uint64_t version, const std::vector<route> &routes)
{
    std::string listed;
    std::set<std::string> services;
    for (const route &each : routes) {
        listed += (listed.empty() ? "" : ",") + std::string(R"({"name":"r)") + replaced(each.prefix, "/", "-") + R"(","host":")" + hostName
            + R"(","pathPrefix":")" + each.prefix + R"(","kind":")" + each.kind + R"(","timeout":")" + each.timeout + R"(","targetLatency":")"
            + each.target + R"(","priority":1,"service":")" + each.service + R"(","maxAttempts":)" + std::to_string(each.maxAttempts) + "}";
        services.insert(each.service);
    }
    std::string named;
    for (const std::string &each : services) {
        named += (named.empty() ? "" : ",") + std::string(R"({"name":")") + each
            + R"(","healthPath":"/health","maxConnections":400,"protocol":"h1","tls":false})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + listed + R"(],"services":[)" + named
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":1})";
}

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 generator{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(generator()));
    return text;
}

inline std::string makeRequest(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body = {})
{
    std::string result = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nCicadamux-Request-Id: " + id
        + "\r\nCicadamux-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT") {
        result += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return result + "\r\n" + body;
}

/** Sends one request on a new connection. */
inline std::optional<message> ask(const std::string &address, const std::string &request, int timeoutMs)
{
    const auto connected = connectTo(address);
    if (!connected || !connected->send(request)) {
        return std::nullopt;
    }
    return connected->read(timeoutMs);
}

inline std::string describe(const std::optional<message> &answer)
{
    if (!answer) {
        return "no answer";
    }
    const std::string id = answer->header("Cicadamux-Request-Id");
    return std::to_string(answer->status()) + (id.empty() ? "" : " id " + id) + (answer->body.size() < 60 ? " '" + replaced(answer->body, "\n", "") + "'" : "");
}

/** Waits until all sidecars are ready and a request on a path is served. */
inline bool waitUntilServed(const std::vector<machine> &hosts, const std::string &path, int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    for (const machine &host : hosts) {
        int served = 0;
        while (served < 3 && nowMs() < until) {
            const auto answer = ask(host.outbound(), makeRequest("GET", path, newId(), 1'000), 1'500);
            served = answer && answer->status() == 200 ? served + 1 : 0;
            sleepMs(50);
        }
        if (served < 3) {
            return false;
        }
    }
    return true;
}

constexpr std::int64_t maxRunMs = 110'000;

enum exit_code { held = 0, broken = 1, couldNotRun = 2 };

/** Runs a case: sets up the record and a temporary folder, and maps exceptions to `couldNotRun`. */
inline int runCase(const std::function<int(const std::string &folder, bool hasTrouble)> &body)
{
    ::signal(SIGPIPE, SIG_IGN);
    const char *recordPath = std::getenv("RECORD");
    record_file::get().open(recordPath == nullptr ? "record.txt" : recordPath);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    char folder[] = "/tmp/cicadamux-review-XXXXXX";
    if (::mkdtemp(folder) == nullptr) {
        return couldNotRun;
    }
    std::thread([] {
        sleepMs(maxRunMs);
        started_processes::get().endAll();
        note("could not run: took too long");
        std::_Exit(couldNotRun);
    }).detach();
    int result = couldNotRun;
    try {
        result = body(folder, hasTrouble);
    } catch (const std::exception &failure) {
        note(std::string("could not run: ") + failure.what());
        result = couldNotRun;
    }
    note(std::string("result: ") + (result == held ? "held" : result == broken ? "broken" : "could not run") + (hasTrouble ? "" : " (TROUBLE=0)"));
    const char *keep = std::getenv("KEEP");
    if (keep == nullptr) {
        const std::string command = std::string("rm -rf ") + folder;
        if (std::system(command.c_str()) != 0) {
            note("temporary folder stays");
        }
    }
    std::cout << (result == held ? "held" : result == broken ? "broken" : "could not run") << std::endl;
    return result;
}

} // namespace harness
