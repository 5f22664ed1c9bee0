/** Versions of the configuration split a route; one service of the split has the weight 0 in all of them. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int versions = 20;
constexpr int versionEachMs = 1'000;
constexpr int requestsEachMs = 40;

/** A split of /orders/ between `first` and `second`, and nothing for `trial` where it has a part. */
std::string splitConfiguration(std::uint64_t version, bool hasZeroPart)
{
    const std::string plain = R"("service":"first","maxAttempts")";
    const std::string zeroPart = hasZeroPart ? R"({"service":"trial","weight":0},)" : "";
    const std::string split
        = R"("weightedSplit":[)" + zeroPart + R"({"service":"first","weight":1},{"service":"second","weight":1}],"maxAttempts")";
    const std::vector<route> routes = {{"/orders/", "non_idempotent", "first"}, {"/trial/", "idempotent", "trial"}, {"/look/", "idempotent", "second"}};
    std::string text = configuration(version, routes);
    const std::size_t at = text.find(plain); // The first route's; the others name other services.
    return text.replace(at, plain.size(), split);
}
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const std::vector<machine> hosts = {{network + "1", "first-1", "zone-a", "first"},
                                            {network + "2", "second-1", "zone-a", "second"},
                                            {network + "3", "trial-1", "zone-a", "trial"}};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        std::uint64_t version = 7;
        platform.writeConfiguration(splitConfiguration(version, hasTrouble));
        std::mutex mutex;
        std::map<std::string, int> runs; ///< Of /orders/, by service.
        const auto serve = [&](upstream &self, const connection_pointer &connected, const message &request) {
            if (request.target().rfind("/orders/", 0) == 0) {
                const std::lock_guard lock(mutex);
                ++runs[self.host().service];
                if (self.host().service == "trial") {
                    note("ROUTE: " + request.header("Cicadamux-Request-Id") + " " + request.first + " is run by trial, whose weight is 0");
                }
            }
            sleepMs(5);
            return connected->send(makeResponse(200, self.answerHeaders(request), self.host().service));
        };
        std::vector<std::unique_ptr<upstream>> servers;
        std::vector<std::unique_ptr<sidecar>> sidecars;
        for (const machine &host : hosts) {
            servers.push_back(std::make_unique<upstream>(host, 20, serve));
            sidecars.push_back(std::make_unique<sidecar>(host, storeAddress, folder));
        }
        if (!waitUntilServed(hosts, "/look/1", 20'000) || !waitUntilServed(hosts, "/trial/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        int asked = 0;
        int served = 0;
        std::int64_t next = nowMs();
        for (int change = 0; change < versions;) {
            if (nowMs() >= next) {
                next += versionEachMs;
                ++change;
                version += 2;
                platform.writeConfiguration(splitConfiguration(version, hasTrouble));
                note("version " + std::to_string(version) + ": /orders/ goes to " + (hasTrouble ? "trial 0, " : "") + "first 1, second 1");
            }
            const machine &entry = hosts[static_cast<std::size_t>(asked) % hosts.size()];
            const auto answer = ask(entry.outbound(), makeRequest("POST", "/orders/hold", newId(), 2'000, "pitch 7"), 2'500);
            ++asked;
            served += answer && answer->status() == 200 ? 1 : 0;
            sleepMs(requestsEachMs);
        }
        sleepMs(300);
        const std::lock_guard lock(mutex);
        note(std::to_string(asked) + " POSTs on /orders/, " + std::to_string(served) + " served: first " + std::to_string(runs["first"]) + ", second "
             + std::to_string(runs["second"]) + ", trial " + std::to_string(runs["trial"]));
        return static_cast<int>(served == 0 ? couldNotRun : runs["trial"] > 0 ? broken : held);
    });
}
