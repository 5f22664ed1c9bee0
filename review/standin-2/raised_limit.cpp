/** The operator raises `maxBodyBytes`. Clients on kept connections then send bodies that the new version allows. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int contactMs = 3'000;
constexpr int configApplyMs = 2'000;
constexpr int clientCount = 24;
constexpr int restMs = 4'000; ///< From the acknowledgement to the requests; connections may rest for 12 s (four fifths of `idleTimeout`, 15 s).
constexpr std::size_t bodyBytes = 200'000;
const std::string limitBefore = "65536";
const std::string limitAfter = "1048576";

std::string configurationWith(std::uint64_t version, const std::string &maxBodyBytes)
{
    return replaced(configuration(version, {{"/stalls/", "non_idempotent", "stalls"}, {"/look/", "idempotent", "stalls"}}), "67108864", maxBodyBytes);
}
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine stalls{network + "1", "stalls-1", "zone-a", "stalls"};
        const machine front{network + "2", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "3:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configurationWith(7, hasTrouble ? limitBefore : limitAfter));
        const auto serve = [](upstream &self, const connection_pointer &connected, const message &request) {
            note(self.id() + ": runs " + request.header("Cicadamux-Request-Id") + ", " + std::to_string(request.body.size()) + " bytes");
            sleepMs(10);
            return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
        };
        upstream stallsServer(stalls, 60, serve);
        upstream frontServer(front, 60, serve);
        sidecar stallsSidecar(stalls, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front}, "/look/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        sleepMs(contactMs);
        std::vector<connection_pointer> kept;
        for (int client = 0; client < clientCount; ++client) {
            kept.push_back(connectTo(front.outbound()));
            kept.back()->send(makeRequest("POST", "/stalls/note", newId(), 2'000, "small"));
            const auto answer = kept.back()->read(3'000);
            if (!answer || answer->status() != 200) {
                note("a small request on a new connection was not served: " + describe(answer));
                return static_cast<int>(couldNotRun);
            }
        }
        if (hasTrouble) {
            platform.writeConfiguration(configurationWith(9, limitAfter));
        }
        const std::int64_t acknowledgedAt = nowMs();
        note(hasTrouble ? "the store has acknowledged version 9, which raises maxBodyBytes from " + limitBefore + " to " + limitAfter
                        : "version 7 has allowed " + limitAfter + " bytes from the start");
        sleepMs(restMs);
        int denied = 0;
        int served = 0;
        int servedOnNew = 0;
        const std::string body(bodyBytes, 'p');
        for (const connection_pointer &connected : kept) {
            const std::string id = newId();
            const std::int64_t sentAt = nowMs() - acknowledgedAt;
            const bool isSent = connected->send(makeRequest("POST", "/stalls/photo", id, 3'000, body));
            const auto answer = connected->read(4'000);
            const bool isDenied = answer && answer->status() == 413 && sentAt > configApplyMs;
            note((isDenied ? "CONFIG: " : "") + id + ", " + std::to_string(bodyBytes) + " bytes on a kept connection, sent " + std::to_string(sentAt)
                 + " ms after the acknowledgement" + (isSent ? "" : " (cut while it was sent)") + ": " + describe(answer));
            denied += isDenied ? 1 : 0;
            served += answer && answer->status() == 200 ? 1 : 0;
            const auto other = ask(front.outbound(), makeRequest("POST", "/stalls/photo", newId(), 3'000, body), 4'000);
            servedOnNew += other && other->status() == 200 ? 1 : 0;
        }
        const int allowed = 5 + 3 * clientCount / 500;
        note("of " + std::to_string(clientCount) + " requests on kept connections " + std::to_string(served) + " were served and " + std::to_string(denied)
             + " refused with 413 (DENIED allows " + std::to_string(allowed) + " of all); of as many on new connections " + std::to_string(servedOnNew) + " were served");
        return static_cast<int>(servedOnNew == 0 ? couldNotRun : denied > allowed ? broken : held);
    });
}
