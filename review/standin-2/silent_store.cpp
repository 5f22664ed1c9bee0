/** All open connections to the platform's store go silent; new ones work. Then the operator changes the configuration. */

#include "harness.h"

using namespace harness;

namespace
{
constexpr int contactMs = 3'000;
constexpr int configApplyMs = 2'000;
constexpr int silentForMs = 5'000; ///< From the silence to the change: longer than `contact`, after which the machines are in touch again.
constexpr int watchMs = 45'000; ///< From the acknowledgement of the change; ends earlier once the new version is in force everywhere.
constexpr int minWatchMs = 6'000;

/** Forwards connections to the store. silence() stops all that are open, without closing them; later ones are forwarded. */
class relay
{
public:
    relay(const std::string &address, std::string target)
        : m_target(std::move(target))
        , m_listener(address, [this](const connection_pointer &connected) {
            forward(connected);
        })
    {
    }

    void silence()
    {
        ++m_era;
    }

private:
    static bool pass(int from, int to)
    {
        char bytes[65536];
        const ssize_t count = ::recv(from, bytes, sizeof(bytes), 0);
        return count > 0 && ::send(to, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
    }

    void forward(const connection_pointer &connected)
    {
        const int era = m_era;
        const auto onward = connectTo(m_target);
        while (onward) {
            pollfd states[2] = {{connected->descriptor(), POLLIN, 0}, {onward->descriptor(), POLLIN, 0}};
            ::poll(states, 2, 100);
            if (m_era != era) { // Silent: nothing is passed on and nothing is closed, until the peer closes.
                char bytes[65536];
                if ((states[0].revents & (POLLIN | POLLHUP)) != 0 && ::recv(connected->descriptor(), bytes, sizeof(bytes), 0) <= 0) {
                    return;
                }
                continue;
            }
            if ((states[0].revents & (POLLIN | POLLHUP)) != 0 && !pass(connected->descriptor(), onward->descriptor())) {
                return;
            }
            if ((states[1].revents & (POLLIN | POLLHUP)) != 0 && !pass(onward->descriptor(), connected->descriptor())) {
                return;
            }
        }
    }

    std::string m_target;
    std::atomic<int> m_era{0};
    listener m_listener;
};
} // namespace

int main()
{
    return runCase([](const std::string &folder, bool hasTrouble) {
        const std::string network = drawNetwork();
        const machine first{network + "1", "orders-1", "zone-a", "orders"};
        const machine second{network + "2", "archive-1", "zone-a", "archive"};
        const machine front{network + "3", "front-1", "zone-a", "front"};
        const std::string storeAddress = network + "4:8309";
        store platform(storeAddress);
        relay path(network + "5:8309", storeAddress);
        const std::string pathAddress = network + "5:8309";
        const std::vector<route> before = {{"/moved/", "idempotent", "orders"}, {"/look/", "idempotent", "orders"}};
        const std::vector<route> after = {{"/moved/", "idempotent", "archive"}, {"/look/", "idempotent", "orders"}, {"/added/", "idempotent", "orders"}};
        platform.writeConfiguration(configuration(7, before));
        const auto serve = [](upstream &self, const connection_pointer &connected, const message &request) {
            sleepMs(5);
            headers_t headers = self.answerHeaders(request);
            return connected->send(makeResponse(200, headers, self.host().service));
        };
        upstream firstServer(first, 20, serve);
        upstream secondServer(second, 20, serve);
        upstream frontServer(front, 20, serve);
        sidecar firstSidecar(first, pathAddress, folder);
        sidecar secondSidecar(second, pathAddress, folder);
        sidecar frontSidecar(front, pathAddress, folder);
        const std::vector<machine> entries{first, second, front};
        if (!waitUntilServed(entries, "/look/1", 20'000)) {
            note("the quiet system did not serve");
            return static_cast<int>(couldNotRun);
        }
        sleepMs(3'000);
        if (hasTrouble) {
            path.silence();
            note("all open connections to the store go silent; new ones work");
        }
        sleepMs(silentForMs);
        platform.writeConfiguration(configuration(9, after));
        const std::int64_t acknowledgedAt = nowMs();
        note("the store has acknowledged version 9: /moved/ goes to archive, /added/ is new; the machines are in touch, the silence began "
             + std::to_string(silentForMs) + " ms ago, `contact` is " + std::to_string(contactMs) + " ms");
        int late = 0;
        int asked = 0;
        std::int64_t lastLateMs = 0;
        bool isInForce = false; // At all machines, in the last round.
        while (nowMs() - acknowledgedAt < watchMs && !(isInForce && nowMs() - acknowledgedAt > minWatchMs)) {
            isInForce = true;
            for (const machine &entry : entries) {
                const std::int64_t sentAt = nowMs() - acknowledgedAt;
                const auto moved = ask(entry.outbound(), makeRequest("GET", "/moved/1", newId(), 1'000), 1'500);
                const auto added = ask(entry.outbound(), makeRequest("GET", "/added/1", newId(), 1'000), 1'500);
                const bool isOldService = moved && moved->status() == 200 && moved->body == "orders";
                const bool isUnknown = added && added->status() == 404;
                asked += 2;
                isInForce = isInForce && moved && moved->body == "archive" && added && added->status() == 200;
                if (sentAt > configApplyMs) {
                    late += (isOldService ? 1 : 0) + (isUnknown ? 1 : 0);
                    lastLateMs = isOldService || isUnknown ? sentAt : lastLateMs;
                }
                note(std::to_string(sentAt) + " ms after it, at " + entry.name + ": /moved/ " + describe(moved) + ", /added/ " + describe(added)
                     + (sentAt > configApplyMs && (isOldService || isUnknown) ? "  CONFIG: as only version 7 allows" : ""));
            }
            sleepMs(500);
        }
        note(std::to_string(asked) + " requests; handled as only the older version allows, sent later than configApply (" + std::to_string(configApplyMs)
             + " ms): " + std::to_string(late) + ", the last one " + std::to_string(lastLateMs) + " ms after the acknowledgement");
        return static_cast<int>(late > 0 ? broken : held);
    });
}
