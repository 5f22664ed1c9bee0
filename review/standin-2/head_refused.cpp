/** All servers of a service are down for some seconds. Clients that use HEAD on kept connections are refused meanwhile, and go on with GET. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int downMs = 3'000;
constexpr int clientCount = 4;

/** Reads one answer; for HEAD without a body, as RFC 9110 (9.3.2) says. */
std::optional<message> exchange(connection &kept, const std::string &method, const std::string &path, std::string &id, int timeoutMs)
{
    id = newId();
    if (!kept.send(makeRequest(method, path, id, 2'000))) {
        return std::nullopt;
    }
    return kept.read(timeoutMs, method == "HEAD");
}
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
        platform.writeConfiguration(configuration(7, {{"/maps/", "idempotent", "maps"}}));
        const auto serve = [](upstream &self, const connection_pointer &connected, const message &request) {
            sleepMs(10);
            const bool isHead = request.method() == "HEAD";
            note(self.id() + ": runs " + request.method() + " " + request.header("Cicadamux-Request-Id"));
            std::string response = makeResponse(200, self.answerHeaders(request), "map of the market");
            return connected->send(isHead ? response.substr(0, response.find("\r\n\r\n") + 4) : response);
        };
        auto mapsServer = std::make_unique<upstream>(maps, 20, serve);
        auto otherServer = std::make_unique<upstream>(others, 20, serve);
        upstream frontServer(front, 20, serve);
        sidecar mapsSidecar(maps, storeAddress, folder);
        sidecar otherSidecar(others, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front, maps, others}, "/maps/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        if (hasTrouble) {
            note("the servers of maps crash");
            mapsServer.reset();
            otherServer.reset();
            sleepMs(300);
        }
        int mixed = 0;
        std::mutex mutex;
        std::vector<std::thread> clients;
        for (int number = 0; number < clientCount; ++number) {
            clients.emplace_back([&, number] {
                const auto kept = connectTo(front.outbound());
                if (!kept) {
                    return;
                }
                std::string id;
                const auto head = exchange(*kept, "HEAD", "/maps/1", id, 3'000);
                note("client " + std::to_string(number) + ": HEAD " + id + " -> " + (head ? head->first + ", Content-Length " + head->header("Content-Length") : "no answer"));
                if (!head || lower(head->header("Connection")) == "close") {
                    return;
                }
                sleepMs(downMs + 1'500); // The servers are back by then.
                const auto get = exchange(*kept, "GET", "/maps/1", id, 3'000);
                const bool isAnswer = !get || get->first.rfind("HTTP/1.1 ", 0) == 0;
                const std::lock_guard lock(mutex);
                note("client " + std::to_string(number) + ": GET " + id + " on the same connection -> " + (get ? "'" + get->first + "'" : "no answer"));
                if (!isAnswer) {
                    ++mixed;
                    note("MIXED: bytes that are no answer in the protocol: '" + get->first + "'");
                }
            });
        }
        if (hasTrouble) {
            sleepMs(downMs);
            mapsServer = std::make_unique<upstream>(maps, 20, serve);
            otherServer = std::make_unique<upstream>(others, 20, serve);
            note("the servers of maps are back");
        }
        for (std::thread &client : clients) {
            client.join();
        }
        note(std::to_string(mixed) + " of " + std::to_string(clientCount) + " clients got bytes that are no answer");
        return static_cast<int>(mixed > 0 ? broken : held);
    });
}
