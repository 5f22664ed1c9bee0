/** Clients send large bodies in chunks, within the operator's limit. The platform ends a process that exceeds its memory. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int uploads = 2;
constexpr std::size_t uploadBytes = 67'000'000; ///< `maxBodyBytes` of the configuration is 67,108,864.
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
        const machine first{network + "1", "stalls-1", "zone-a", "stalls"};
        const machine second{network + "2", "stalls-2", "zone-a", "stalls"};
        const machine front{network + "3", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/stalls/", "non_idempotent", "stalls", "20000ms"}, {"/look/", "idempotent", "stalls"}}));
        const std::string piece(pieceBytes, 'p');
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
        const std::string chunk = size + piece + "\r\n";
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
        upstream firstServer(first, 40, serve);
        upstream secondServer(second, 40, serve);
        upstream frontServer(front, 40, serve);
        sidecar firstSidecar(first, storeAddress, folder);
        sidecar secondSidecar(second, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front}, "/look/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        note("memory of the processes in MB: " + std::to_string(firstSidecar.memoryMb()) + ", " + std::to_string(secondSidecar.memoryMb()) + ", "
             + std::to_string(frontSidecar.memoryMb()));
        std::atomic<bool> isOver{false};
        std::atomic<int> killed{0};
        std::vector<std::thread> threads;
        // The platform: "A process that exceeds memoryMb is killed."
        double peak = 0;
        threads.emplace_back([&] {
            while (!isOver) {
                for (sidecar *each : {&frontSidecar, &firstSidecar, &secondSidecar}) {
                    const double used = each->memoryMb();
                    peak = std::max(peak, used);
                    if (used > memoryLimitMb) {
                        note("the platform ends process " + std::to_string(each->process()) + ", which uses " + std::to_string(used) + " MB of "
                             + std::to_string(memoryLimitMb));
                        each->kill(SIGKILL);
                        each->wait();
                        ++killed;
                    }
                }
                sleepMs(5);
            }
        });
        std::atomic<int> served{0};
        std::atomic<int> cut{0};
        for (int client = 0; client < keptClients; ++client) { // Ordinary clients on kept connections.
            threads.emplace_back([&] {
                const auto kept = connectTo(front.outbound());
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
        for (int client = 0; client < uploads; ++client) {
            threads.emplace_back([&, client] {
                const std::string id = newId();
                const auto uploading = connectTo(front.outbound());
                std::string head = "POST /stalls/photos HTTP/1.1\r\nHost: " + hostName + "\r\nCicadamux-Request-Id: " + id + "\r\nCicadamux-Deadline-Ms: 20000\r\n";
                head += hasTrouble ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
                note("client " + std::to_string(client) + " sends " + id + " with " + std::to_string(uploadBytes) + " bytes of body, "
                     + (hasTrouble ? "in chunks" : "with a length"));
                bool isSent = uploading && uploading->send(head);
                for (std::size_t sent = 0; isSent && sent < uploadBytes; sent += piece.size()) {
                    isSent = uploading->send(hasTrouble ? chunk : piece);
                }
                if (isSent && hasTrouble) {
                    uploading->send("0\r\n\r\n");
                }
                const auto answer = uploading ? uploading->read(10'000) : std::nullopt;
                note("client " + std::to_string(client) + " gets for " + id + ": " + describe(answer));
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
        note("greatest memory of a process: " + std::to_string(peak) + " MB; ended by the platform: " + std::to_string(killed) + "; requests served on kept connections: "
             + std::to_string(served) + ", cut: " + std::to_string(cut));
        return static_cast<int>(killed > 0 && cut > 3 ? broken : held);
    });
}
