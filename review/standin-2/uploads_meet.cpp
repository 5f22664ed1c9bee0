/** Clients of several machines send a large body each, with a length, to one server. The platform ends a process that exceeds its memory. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int uploads = 10; ///< One from each machine of the front; without trouble, one alone.
constexpr std::size_t uploadBytes = 40'000'000; ///< `maxBodyBytes` of the configuration is 67,108,864.
constexpr std::size_t pieceBytes = 50'000;
constexpr int workMs = 300;
constexpr int watchMs = 8'000;
constexpr double memoryLimitMb = 260; ///< `limits.memoryMb` of the settings.
constexpr int keptClients = 24;
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine stalls{network + "1", "stalls-1", "zone-a", "stalls"};
        std::vector<machine> fronts;
        for (int number = 0; number < uploads; ++number) {
            fronts.push_back({network + std::to_string(number + 2), "front-" + std::to_string(number + 1), "zone-a", "front"});
        }
        const std::string storeAddress = network + "20:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/stalls/", "non_idempotent", "stalls", "20000ms"}, {"/look/", "idempotent", "front"}}));
        const std::string piece(pieceBytes, 'p');
        std::mutex mutex;
        std::set<std::string> running; ///< Ids of requests that reached a server.
        const auto serve = [&](upstream &self, const connection_pointer &connected, const message &request) {
            {
                const std::lock_guard lock(mutex);
                running.insert(request.header("Cicadamux-Request-Id"));
            }
            sleepMs(workMs);
            return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
        };
        upstream stallsServer(stalls, 40, serve);
        sidecar stallsSidecar(stalls, storeAddress, folder);
        std::vector<std::unique_ptr<upstream>> servers;
        std::vector<std::unique_ptr<sidecar>> sidecars;
        for (const machine &front : fronts) {
            servers.push_back(std::make_unique<upstream>(front, 40, serve));
            sidecars.push_back(std::make_unique<sidecar>(front, storeAddress, folder));
        }
        std::vector<machine> all = fronts;
        all.push_back(stalls);
        if (!waitUntilServed(all, "/look/1", 30'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        std::atomic<bool> isOver{false};
        std::atomic<int> killed{0};
        std::vector<std::thread> threads;
        // The platform: "A process that exceeds memoryMb is killed."
        double peak = 0;
        double peakOfFronts = 0;
        threads.emplace_back([&] {
            while (!isOver) {
                const double used = stallsSidecar.memoryMb();
                peak = std::max(peak, used);
                for (const auto &each : sidecars) {
                    peakOfFronts = std::max(peakOfFronts, each->memoryMb());
                }
                if (used > memoryLimitMb) {
                    note("the platform ends process " + std::to_string(stallsSidecar.process()) + " of " + stalls.name + ", which uses " + std::to_string(used)
                         + " MB of " + std::to_string(memoryLimitMb));
                    stallsSidecar.kill(SIGKILL);
                    stallsSidecar.wait();
                    ++killed;
                }
                sleepMs(5);
            }
        });
        std::atomic<int> served{0};
        std::atomic<int> cut{0};
        for (int client = 0; client < keptClients; ++client) { // Ordinary clients of the machine beside the server, on kept connections.
            threads.emplace_back([&] {
                const auto kept = connectTo(stalls.outbound());
                while (kept && !isOver) {
                    const std::string id = newId();
                    if (!kept->send(makeRequest("GET", "/look/2", id, 3'000))) {
                        return;
                    }
                    const auto answer = kept->read(4'000);
                    if (!answer) {
                        const std::lock_guard lock(mutex);
                        const bool isPassedOn = running.contains(id);
                        note((isPassedOn ? "LOST: " : "") + id + " on a kept connection: no answer, connection " + (kept->timedOut() ? "silent" : "closed")
                             + (isPassedOn ? ", passed on to a server" : ", not passed on"));
                        cut += isPassedOn ? 1 : 0;
                        return;
                    }
                    served += answer->status() == 200 ? 1 : 0;
                    sleepMs(50);
                }
            });
        }
        sleepMs(1'000);
        for (int client = 0; client < (hasTrouble ? uploads : 1); ++client) {
            threads.emplace_back([&, client] {
                const machine &front = fronts[static_cast<std::size_t>(client)];
                const std::string id = newId();
                const auto uploading = connectTo(front.outbound());
                note("a client at " + front.name + " sends " + id + " with " + std::to_string(uploadBytes) + " bytes of body");
                bool isSent = uploading
                    && uploading->send("POST /stalls/photos HTTP/1.1\r\nHost: " + hostName + "\r\nCicadamux-Request-Id: " + id
                                       + "\r\nCicadamux-Deadline-Ms: 20000\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n");
                for (std::size_t sent = 0; isSent && sent < uploadBytes; sent += piece.size()) {
                    isSent = uploading->send(piece);
                }
                const auto answer = uploading ? uploading->read(10'000) : std::nullopt;
                note("the client at " + front.name + " gets for " + id + ": " + describe(answer));
            });
        }
        const std::int64_t until = nowMs() + watchMs;
        while (nowMs() < until && killed == 0) {
            sleepMs(50);
        }
        sleepMs(1'000);
        isOver = true;
        for (std::thread &each : threads) {
            each.join();
        }
        note("greatest memory of the process beside the server: " + std::to_string(peak) + " MB, of the others: " + std::to_string(peakOfFronts) + " MB; ended by the platform: " + std::to_string(killed) + "; requests served on kept connections: "
             + std::to_string(served) + ", cut: " + std::to_string(cut));
        return static_cast<int>(killed > 0 && cut > 3 ? broken : held);
    });
}
