/** @file replaceable_store.cpp A store client that can be replaced while calls are pending. */

#include "store/replaceable_store_base.h"

#include <utility>

namespace cicadamux
{

replaceable_store::replaceable_store(std::unique_ptr<object_store> client)
    : m_client(std::move(client))
{
}

void replaceable_store::replace(std::unique_ptr<object_store> client)
{
    m_previous = std::exchange(m_client, std::move(client));
}

void replaceable_store::get(std::string_view kind, std::string_view name, store_handler<stored_object> handler)
{
    m_client->get(kind, name, std::move(handler));
}

void replaceable_store::put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    m_client->put(kind, name, value, ifVersion, std::move(handler));
}

void replaceable_store::remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler)
{
    m_client->remove(kind, name, ifVersion, std::move(handler));
}

void replaceable_store::list(std::string_view kind, store_handler<store_changes> handler)
{
    m_client->list(kind, std::move(handler));
}

void replaceable_store::watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler)
{
    m_client->watch(kind, cursor, wait, std::move(handler));
}

} // namespace cicadamux
