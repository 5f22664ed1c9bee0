/** A server leaves while the store is away, and all sidecars are killed; later a heartbeat from before arrives. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int drainMs = 2'000;
constexpr int contactMs = 3'000;
constexpr int awayMs = 3'000; ///< The store's outage.
constexpr int killAfterMs = 1'200; ///< From the beginning of the outage.
constexpr int restartMs = 300;
constexpr int quietMs = 4'000; ///< From the store's return to the late heartbeat: longer than `contact`.
constexpr int askMs = 3'000; ///< Clients' requests after the late heartbeat.
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const std::vector<machine> hosts = {{network + "1", "orders-1", "zone-a", "orders"},
                                            {network + "2", "orders-2", "zone-a", "orders"},
                                            {network + "3", "front-1", "zone-a", "front"}};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/orders/", "non_idempotent", "orders"}, {"/look/", "idempotent", "orders"}}));
        std::mutex mutex;
        std::int64_t acknowledgedAt = 0;
        std::map<std::string, std::int64_t> sentAt; ///< By request.
        int late = 0;
        const auto serve = [&](upstream &self, const connection_pointer &connected, const message &request) {
            const std::string id = request.header("Cicadamux-Request-Id");
            {
                const std::lock_guard lock(mutex);
                const bool hasLeft = self.host().name == "orders-1" && acknowledgedAt > 0;
                const std::int64_t since = nowMs() - acknowledgedAt;
                if (hasLeft && since > drainMs && sentAt.contains(id)) {
                    ++late;
                    note("DRAIN: " + id + " reaches " + self.id() + " " + std::to_string(since) + " ms after its leaving was acknowledged; the client sent it "
                         + std::to_string(sentAt[id] - acknowledgedAt) + " ms after that");
                }
            }
            sleepMs(10);
            return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
        };
        std::vector<std::unique_ptr<upstream>> servers;
        std::vector<std::unique_ptr<sidecar>> sidecars;
        for (const machine &host : hosts) {
            servers.push_back(std::make_unique<upstream>(host, 20, serve));
            sidecars.push_back(std::make_unique<sidecar>(host, storeAddress, folder));
        }
        if (!waitUntilServed(hosts, "/look/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        sleepMs(2'000);
        const std::int64_t beganAt = nowMs();
        if (hasTrouble) {
            platform.setAway(true);
            note("the store is away (503)");
        }
        sleepMs(300);
        const bool isAcknowledged = servers[0]->leave();
        {
            const std::lock_guard lock(mutex);
            acknowledgedAt = nowMs();
        }
        note("orders-1 sends its DELETE: " + std::string(isAcknowledged ? "acknowledged" : "not acknowledged") + "; it serves on for many seconds");
        if (!isAcknowledged) {
            return static_cast<int>(couldNotRun);
        }
        sleepMs(beganAt + killAfterMs - nowMs());
        if (hasTrouble) {
            note("all sidecars are killed");
            for (const auto &each : sidecars) {
                each->kill(SIGKILL);
            }
            for (const auto &each : sidecars) {
                each->wait();
            }
            sleepMs(restartMs);
            for (const auto &each : sidecars) {
                each->start(false);
            }
        }
        sleepMs(beganAt + awayMs - nowMs());
        platform.setAway(false);
        note("the store is back; it holds of the departure: '" + platform.spec("cicadamux-departures", "orders-1") + "'");
        sleepMs(quietMs);
        note("a heartbeat of orders-1 from before its DELETE arrives, " + std::to_string(nowMs() - acknowledgedAt) + " ms after the acknowledgement: "
             + (servers[0]->sendLateHeartbeat() ? "acknowledged" : "not acknowledged") + "; `contact` (" + std::to_string(contactMs)
             + " ms) has passed since the store's return and the restarts");
        int asked = 0;
        int served = 0;
        const std::int64_t until = nowMs() + askMs;
        while (nowMs() < until) {
            const std::string id = newId();
            const machine &entry = hosts[static_cast<std::size_t>(asked) % hosts.size()];
            {
                const std::lock_guard lock(mutex);
                sentAt[id] = nowMs();
            }
            const auto answer = ask(entry.outbound(), makeRequest("POST", "/orders/hold", id, 2'000, "pitch 7"), 2'500);
            ++asked;
            served += answer && answer->status() == 200 ? 1 : 0;
            sleepMs(20);
        }
        const std::lock_guard lock(mutex);
        note(std::to_string(asked) + " requests, " + std::to_string(served) + " served; " + std::to_string(late) + " reached the server that has left, later than `drain` ("
             + std::to_string(drainMs) + " ms)");
        return static_cast<int>(served == 0 ? couldNotRun : late > 0 ? broken : held);
    });
}
