/** A server sheds some requests, and sends a second copy of a few of these answers late, where the next answer is expected. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int clientThreads = 4;
constexpr int requestsPerClient = 150;
constexpr int workMs = 20;
constexpr int shedEach = 10; ///< One request in ten finds the server full.
constexpr int copyEach = 50; ///< At most one answer in fifty gets a second copy: the largest share of kind `garble`, 0.02.

/** Runs of each request by its id, at all servers. */
struct run_log {
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;

    void add(const std::string &id, const std::string &server)
    {
        const std::lock_guard lock(mutex);
        runs[id].push_back(server);
    }
};

/** A server of the service; only the first one sends second copies. */
upstream::handler_func makeServer(run_log &log, bool sendsCopies)
{
    struct state {
        std::mutex mutex;
        int answers = 0;
        int copied = 0;
    };
    const auto shared = std::make_shared<state>();
    return [shared, &log, sendsCopies](upstream &self, const connection_pointer &connected, const message &request) {
        const std::string id = request.header("Cicadamux-Request-Id");
        std::string copy;
        bool sheds = false;
        {
            const std::lock_guard lock(shared->mutex);
            copy = std::exchange(connected->pending, {});
            ++shared->answers;
            sheds = copy.empty() && shared->answers % shedEach == 0;
        }
        if (!copy.empty()) {
            note(self.id() + ": second copy of its earlier refusal, before the answer to " + id);
            connected->send(copy);
        }
        if (sheds) {
            const std::string refusal = makeResponse(503, {{"Cicadamux-Not-Executed", "1"}}, ""); // As on the wire page: without an id.
            const std::lock_guard lock(shared->mutex);
            note(self.id() + ": full, has not run " + id);
            if (sendsCopies && (shared->copied + 1) * copyEach <= shared->answers + copyEach - 1) {
                ++shared->copied;
                connected->pending = refusal;
            }
            return connected->send(refusal);
        }
        log.add(id, self.id());
        note(self.id() + ": runs " + id);
        sleepMs(workMs);
        return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
    };
}
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine first{network + "1", "orders-1", "zone-a", "orders"};
        const machine second{network + "2", "orders-2", "zone-a", "orders"};
        const machine front{network + "3", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        platform.writeConfiguration(configuration(7, {{"/orders/", "non_idempotent", "orders"}, {"/look/", "idempotent", "orders"}}));
        run_log log;
        const auto answerAtOnce = [](upstream &self, const connection_pointer &connected, const message &request) {
            return connected->send(makeResponse(200, self.answerHeaders(request), "done"));
        };
        upstream firstServer(first, 20, makeServer(log, hasTrouble));
        upstream secondServer(second, 20, makeServer(log, false));
        upstream frontServer(front, 20, answerAtOnce);
        sidecar firstSidecar(first, storeAddress, folder);
        sidecar secondSidecar(second, storeAddress, folder);
        sidecar frontSidecar(front, storeAddress, folder);
        if (!waitUntilServed({front}, "/look/1", 15'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        std::mutex mutex;
        std::map<std::string, std::string> answers;
        std::map<std::string, int> statuses;
        std::vector<std::thread> clients;
        for (int client = 0; client < clientThreads; ++client) {
            clients.emplace_back([&] {
                auto kept = connectTo(front.outbound());
                for (int number = 0; number < requestsPerClient; ++number) {
                    const std::string id = newId();
                    if (!kept) {
                        kept = connectTo(front.outbound());
                    }
                    const bool isSent = kept && kept->send(makeRequest("POST", "/orders/hold", id, 5'000, "pitch 7"));
                    const auto answer = isSent ? kept->read(6'000) : std::nullopt;
                    if (!answer) {
                        kept.reset();
                    }
                    const std::lock_guard lock(mutex);
                    answers[id] = describe(answer);
                    statuses[id] = answer ? answer->status() : 0;
                    sleepMs(10);
                }
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
        sleepMs(500);
        int twice = 0;
        int refused = 0;
        const std::lock_guard lock(log.mutex);
        for (const auto &[id, status] : statuses) {
            const auto found = log.runs.find(id);
            const std::size_t runs = found == log.runs.end() ? 0 : found->second.size();
            if (runs > 1) {
                ++twice;
                note("TWICE: " + id + " ran at " + found->second[0] + " and " + found->second[1] + ", answered " + answers[id]);
            }
            if (runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421)) {
                ++refused;
                note("REFUSED: " + id + " ran " + std::to_string(runs) + " times, answered " + answers[id]);
            }
        }
        note(std::to_string(statuses.size()) + " requests, " + std::to_string(twice) + " ran more than once, " + std::to_string(refused)
             + " were refused and ran");
        return static_cast<int>(twice > 0 || refused > 0 ? broken : held);
    });
}
