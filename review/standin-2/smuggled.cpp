/** Clients send malformed requests: the last transfer coding isn't `chunked`, so that the length of the body is unknown. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int requestCount = 10;

struct run_log {
    std::mutex mutex;
    std::map<std::string, std::string> runs; ///< Request line by id.
};

/** A request whose body is the text of another one. @param isMalformed Otherwise the same body is sent in chunks. */
std::string makeOuter(const std::string &id, const std::string &inner, bool isMalformed)
{
    const std::string head = "POST /orders/note HTTP/1.1\r\nHost: " + hostName + "\r\nCicadamux-Request-Id: " + id + "\r\nCicadamux-Deadline-Ms: 3000\r\n";
    if (isMalformed) {
        return head + "Transfer-Encoding: gzip\r\n\r\n" + inner;
    }
    char size[20];
    std::snprintf(size, sizeof(size), "%zx", inner.size());
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + inner + "\r\n0\r\n\r\n";
}
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine orders{network + "1", "orders-1", "zone-a", "orders"};
        const machine front{network + "2", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/orders/", "non_idempotent", "orders"}, {"/look/", "idempotent", "orders"}}));
        run_log log;
        const auto serve = [&log](upstream &self, const connection_pointer &connected, const message &request) {
            const std::string id = request.header("Cicadamux-Request-Id");
            {
                const std::lock_guard lock(log.mutex);
                log.runs[id] = request.first + ", " + std::to_string(request.body.size()) + " bytes of body";
            }
            note(self.id() + ": runs " + id + ": " + request.first + ", " + std::to_string(request.body.size()) + " bytes of body");
            return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
        };
        upstream ordersServer(orders, 20, serve);
        upstream frontServer(front, 20, serve);
        sidecar ordersSidecar(orders, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front}, "/look/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        std::set<std::string> innerIds;
        int changed = 0;
        for (int number = 0; number < requestCount; ++number) {
            const std::string id = newId();
            const std::string innerId = newId();
            innerIds.insert(innerId);
            const std::string inner = makeRequest("POST", "/orders/hold", innerId, 3'000, "pitch 7");
            const auto kept = connectTo(front.outbound());
            if (!kept || !kept->send(makeOuter(id, inner, hasTrouble))) {
                continue;
            }
            note("client sends " + id + " with " + std::to_string(inner.size()) + " bytes of body, which hold the text of a request with the id " + innerId);
            for (auto answer = kept->read(1'000); answer; answer = kept->read(300)) {
                note("client gets " + describe(answer));
            }
            const std::lock_guard lock(log.mutex);
            const auto run = log.runs.find(id);
            const bool isWhole = run == log.runs.end() || run->second.find(", " + std::to_string(inner.size()) + " bytes") != std::string::npos;
            changed += isWhole ? 0 : 1;
            if (!isWhole) {
                note("UNASKED: " + id + " ran with another body than was sent: " + run->second);
            }
        }
        int smuggled = 0;
        const std::lock_guard lock(log.mutex);
        for (const std::string &innerId : innerIds) {
            const auto run = log.runs.find(innerId);
            if (run != log.runs.end()) {
                ++smuggled;
                note("UNASKED: " + innerId + " was smuggled inside another request and ran: " + run->second);
            }
        }
        note(std::to_string(smuggled) + " of " + std::to_string(requestCount) + " smuggled requests ran; " + std::to_string(changed)
             + " requests ran with their body changed");
        return static_cast<int>(smuggled > 0 || changed > 0 ? broken : held);
    });
}
