/** @file fleet_ask.cpp Asks many daemons the same question. */

#include "operator/fleet_ask_func.h"

#include "operator/query_func.h"

#include <deque>
#include <map>
#include <mutex>

namespace cicadamux::detail
{

namespace
{
/** Members of one data centre that wait to be asked. */
struct ask_queue {
    std::deque<std::size_t> waiting; ///< Indexes of parts.
    std::size_t inFlight = 0;
};

class fleet_ask : public std::enable_shared_from_this<fleet_ask>
{
public:
    fleet_ask(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, parts_handler handler)
        : m_hooks(std::move(hooks))
        , m_query(std::move(query))
        , m_handler(std::move(handler))
        , m_answered(members.size())
        , m_left(members.size())
    {
        for (member_record &member : members) {
            m_queues[member.dataCenter].waiting.push_back(m_parts.size());
            m_parts.push_back({std::move(member), std::nullopt});
        }
    }

    void start()
    {
        m_hooks->schedule(fleetTimeLimit, [self = shared_from_this()] {
            self->end();
        });
        askOn();
        if (m_parts.empty()) {
            end();
        }
    }

private:
    /** Asks while a data centre has room. An answer that comes inside ask() doesn't recurse. */
    void askOn()
    {
        std::unique_lock lock(m_mutex);
        if (m_asking) {
            return;
        }
        m_asking = true;
        while (const auto next = takeNext()) {
            lock.unlock();
            askOne(*next);
            lock.lock();
        }
        m_asking = false;
    }

    std::optional<std::size_t> takeNext()
    {
        if (m_ended) {
            return std::nullopt;
        }
        for (auto &[dataCenter, queue] : m_queues) {
            if (!queue.waiting.empty() && queue.inFlight < asksPerDataCenter) {
                const std::size_t index = queue.waiting.front();
                queue.waiting.pop_front();
                ++queue.inFlight;
                return index;
            }
        }
        return std::nullopt;
    }

    void askOne(std::size_t index)
    {
        const member_record &member = m_parts[index].member; // Members never change once the asking has begun.
        if (member.host == m_hooks->host) {
            answered(index, answerAsk(m_query, *m_hooks));
            return;
        }
        m_hooks->ask(member, m_query, askTimeLimit, [self = shared_from_this(), index](std::optional<std::string> json) {
            self->answered(index, std::move(json));
        });
    }

    void answered(std::size_t index, std::optional<std::string> json)
    {
        bool isLast = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended || m_answered[index]) {
                return;
            }
            m_answered[index] = true;
            m_parts[index].json = std::move(json);
            --m_queues[m_parts[index].member.dataCenter].inFlight;
            isLast = --m_left == 0;
        }
        if (isLast) {
            end();
        } else {
            askOn();
        }
    }

    void end()
    {
        std::vector<asked_part> parts;
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended) {
                return;
            }
            m_ended = true;
            parts = m_parts; // Not moved: an ask that begins at this moment still reads its member.
        }
        m_handler(std::move(parts));
    }

    const std::shared_ptr<const operator_hooks> m_hooks;
    const std::string m_query;
    const parts_handler m_handler;
    std::mutex m_mutex;
    std::vector<asked_part> m_parts;
    std::vector<bool> m_answered;
    std::size_t m_left;
    std::map<std::string, ask_queue> m_queues; ///< By data centre.
    bool m_asking = false;
    bool m_ended = false;
};
} // namespace

void askFleet(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, parts_handler handler)
{
    std::make_shared<fleet_ask>(std::move(hooks), std::move(members), std::move(query), std::move(handler))->start();
}

} // namespace cicadamux::detail
