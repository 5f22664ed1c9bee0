/** @file replaceable_store_base.h A store client that can be replaced while calls are pending. */

#pragma once

#include "store/store_type.h"

#include <memory>

namespace cicadamux
{

/** Passes each call to the current client. Calls that are pending at a replacement end at the client that took them. Not thread-safe. */
class replaceable_store : public object_store
{
public:
    explicit replaceable_store(std::unique_ptr<object_store> client);

    /** Takes over a new client; the previous one is kept until the next replacement, for its pending calls. */
    void replace(std::unique_ptr<object_store> client);

    void get(std::string_view kind, std::string_view name, store_handler<stored_object> handler) override;
    void put(std::string_view kind, std::string_view name, std::string_view value, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;
    void remove(std::string_view kind, std::string_view name, std::uint64_t ifVersion, store_handler<std::uint64_t> handler) override;
    void list(std::string_view kind, store_handler<store_changes> handler) override;
    void watch(std::string_view kind, std::uint64_t cursor, clock_ms wait, store_handler<store_changes> handler) override;

private:
    std::unique_ptr<object_store> m_client;
    std::unique_ptr<object_store> m_previous;
};

} // namespace cicadamux
