/** A sidecar gets SIGTERM. Clients have sent a request that runs long and, behind it on the connection, one that is soon done. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int graceMs = 6'000;
constexpr int clientCount = 12;
constexpr int firstAfterMs = 80; ///< From the SIGTERM to the first client's requests. The platform takes the machine out after two misses, 1 to 2 s.
constexpr int eachMs = 75; ///< Between the clients.
constexpr int longRunUntilMs = 5'500; ///< After the SIGTERM.
constexpr int shortWorkMs = 50;
constexpr int deadlineMs = 6'000; ///< As of the longest kind of request of the site.
constexpr int lastSixthMs = graceMs - graceMs / 6;
constexpr int latestSentMs = 3'000;
constexpr int lossSlackMs = 200;

struct run {
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;
};

struct sent_request {
    std::string id;
    std::int64_t sentAt = 0;
    bool isAnswered = false;
};
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine maps{network + "1", "maps-1", "zone-a", "maps"};
        const machine others{network + "2", "maps-2", "zone-a", "maps"};
        const machine front{network + "3", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/maps/", "idempotent", "maps", "6000ms"}}));
        std::mutex mutex;
        std::map<std::string, run> runs;
        const auto serve = [&](upstream &self, const connection_pointer &connected, const message &request) {
            const std::string id = request.header("Cicadamux-Request-Id");
            const int work = std::atoi(request.target().substr(request.target().rfind('/') + 1).c_str());
            {
                const std::lock_guard lock(mutex);
                runs[id].startedAt = nowMs();
            }
            sleepMs(work);
            {
                const std::lock_guard lock(mutex);
                runs[id].endedAt = nowMs();
            }
            return connected->send(makeResponse(200, self.answerHeaders(request), "map of the market"));
        };
        upstream mapsServer(maps, 40, serve);
        upstream otherServer(others, 40, serve);
        upstream frontServer(front, 40, serve);
        sidecar mapsSidecar(maps, storeAddress, folder);
        sidecar otherSidecar(others, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front, maps, others}, "/maps/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        std::vector<connection_pointer> kept;
        for (int client = 0; client < clientCount; ++client) {
            kept.push_back(connectTo(front.outbound()));
            kept.back()->send(makeRequest("GET", "/maps/1", newId(), 1'000));
            kept.back()->read(2'000);
        }
        sleepMs(3'500); // `contact`, without any disruption.
        const std::int64_t stoppedAt = nowMs();
        if (hasTrouble) {
            frontSidecar.kill(SIGTERM);
            note("SIGTERM to the sidecar of " + front.name);
        }
        std::atomic<int> lost{0};
        std::atomic<int> answered{0};
        std::vector<std::thread> clients;
        for (int client = 0; client < clientCount; ++client) {
            clients.emplace_back([&, client] {
                const connection_pointer &connected = kept[static_cast<std::size_t>(client)];
                sleepMs(stoppedAt + firstAfterMs + client * eachMs - nowMs());
                const std::int64_t work = stoppedAt + longRunUntilMs - nowMs();
                std::vector<sent_request> requests = {{newId(), nowMs(), false}, {newId(), nowMs(), false}};
                connected->send(makeRequest("GET", "/maps/" + std::to_string(work), requests[0].id, deadlineMs)
                                + makeRequest("GET", "/maps/" + std::to_string(shortWorkMs), requests[1].id, deadlineMs));
                std::int64_t endedAt = 0;
                for (sent_request &request : requests) {
                    const auto answer = connected->read(deadlineMs + 500);
                    request.isAnswered = answer && answer->header("Cicadamux-Request-Id") == request.id;
                    endedAt = nowMs();
                    if (!answer) {
                        break;
                    }
                }
                const std::lock_guard lock(mutex);
                for (const sent_request &request : requests) {
                    const bool isPassedOn = runs.contains(request.id);
                    const run served = isPassedOn ? runs[request.id] : run{};
                    // The excuses of the rule: still at work in the last sixth of `grace`, and sent no later than 3 s after the SIGTERM.
                    const bool wasAtWork = isPassedOn && (served.endedAt == 0 || served.endedAt - stoppedAt > lastSixthMs);
                    const bool isExcused = wasAtWork && request.sentAt - stoppedAt <= latestSentMs;
                    const bool isLost = !request.isAnswered && !connected->timedOut() && isPassedOn && !isExcused && endedAt - request.sentAt > lossSlackMs;
                    note((isLost ? "LOST: " : "") + request.id + ", sent " + std::to_string(request.sentAt - stoppedAt) + " ms after the SIGTERM: run "
                         + std::to_string(served.startedAt - stoppedAt) + " to " + (served.endedAt == 0 ? "later" : std::to_string(served.endedAt - stoppedAt)) + " ms, "
                         + (request.isAnswered ? "answered" : "the connection ended without an answer at " + std::to_string(endedAt - stoppedAt) + " ms")
                         + (!request.isAnswered && isExcused ? " (excused)" : ""));
                    lost += isLost ? 1 : 0;
                    answered += request.isAnswered ? 1 : 0;
                }
            });
        }
        while (hasTrouble && !frontSidecar.hasEnded() && nowMs() - stoppedAt < graceMs) {
            sleepMs(5);
        }
        if (hasTrouble) {
            note("the process is gone " + std::to_string(nowMs() - stoppedAt) + " ms after the SIGTERM; `grace` is " + std::to_string(graceMs) + " ms");
            frontSidecar.kill(SIGKILL);
        }
        for (std::thread &client : clients) {
            client.join();
        }
        note(std::to_string(answered) + " of " + std::to_string(2 * clientCount) + " requests were answered; " + std::to_string(lost)
             + " whose answers had been ready for seconds ended without one");
        return static_cast<int>(lost > 0 ? broken : held);
    });
}
