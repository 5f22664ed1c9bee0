/** @file fleet_ask.cpp Sends the same query to many daemons. */

#include "operator/fleet_ask_func.h"

#include "operator/query_func.h"

#include <deque>
#include <map>
#include <mutex>

namespace cicadamux::detail
{

namespace
{
/** Members of one data centre whose query hasn't been sent yet. */
struct ask_queue {
    std::deque<std::size_t> waiting; ///< Indexes of replies.
    std::size_t inFlight = 0;
};

class fleet_ask : public std::enable_shared_from_this<fleet_ask>
{
public:
    fleet_ask(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, replies_handler handler)
        : m_hooks(std::move(hooks))
        , m_query(std::move(query))
        , m_handler(std::move(handler))
        , m_hasReplied(members.size())
        , m_outstanding(members.size())
    {
        for (member_record &member : members) {
            m_queues[member.dataCenter].waiting.push_back(m_replies.size());
            m_replies.push_back({std::move(member), std::nullopt});
        }
    }

    void start()
    {
        m_hooks->schedule(fleetTimeLimit, [self = shared_from_this()] {
            self->end();
        });
        askWaiting();
        if (m_replies.empty()) {
            end();
        }
    }

private:
    /** Sends queries while a data centre is below its limit. A reply that arrives within ask() doesn't recurse. */
    void askWaiting()
    {
        std::unique_lock lock(m_mutex);
        if (m_asking) {
            return;
        }
        m_asking = true;
        while (const auto next = takeNextIndex()) {
            lock.unlock();
            askMember(*next);
            lock.lock();
        }
        m_asking = false;
    }

    std::optional<std::size_t> takeNextIndex()
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

    void askMember(std::size_t index)
    {
        const member_record &member = m_replies[index].member; // Members don't change after start().
        if (member.host == m_hooks->host) {
            onReply(index, answerAsk(m_query, *m_hooks));
            return;
        }
        m_hooks->queryDaemon(member, m_query, askTimeLimit, [self = shared_from_this(), index](std::optional<std::string> json) {
            self->onReply(index, std::move(json));
        });
    }

    void onReply(std::size_t index, std::optional<std::string> json)
    {
        bool isLast = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended || m_hasReplied[index]) {
                return;
            }
            m_hasReplied[index] = true;
            m_replies[index].json = std::move(json);
            --m_queues[m_replies[index].member.dataCenter].inFlight;
            isLast = --m_outstanding == 0;
        }
        if (isLast) {
            end();
        } else {
            askWaiting();
        }
    }

    void end()
    {
        std::vector<member_reply> replies;
        {
            const std::lock_guard lock(m_mutex);
            if (m_ended) {
                return;
            }
            m_ended = true;
            replies = m_replies; // Copied, because a concurrent askMember() may still read its member.
        }
        m_handler(std::move(replies));
    }

    const std::shared_ptr<const operator_hooks> m_hooks;
    const std::string m_query;
    const replies_handler m_handler;
    std::mutex m_mutex;
    std::vector<member_reply> m_replies;
    std::vector<bool> m_hasReplied;
    std::size_t m_outstanding;
    std::map<std::string, ask_queue> m_queues; ///< By data centre.
    bool m_asking = false; ///< A call of askWaiting() is sending queries.
    bool m_ended = false; ///< The handler has been called, or is about to be.
};
} // namespace

void askFleet(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, replies_handler handler)
{
    std::make_shared<fleet_ask>(std::move(hooks), std::move(members), std::move(query), std::move(handler))->start();
}

} // namespace cicadamux::detail
