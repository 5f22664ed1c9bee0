/** @file link_handshake_base.h Proof at the start of a link that both ends have the fleet's key. */

#pragma once

#include "link/link_type.h"

#include <optional>
#include <string>

namespace cicadamux
{

/** Which end of a link takes part in the handshake. */
enum class link_end : std::uint8_t { connecting, accepting };

/**
 * The connecting end sends a nonce; the accepting end answers with its own nonce and a proof over both; the connecting
 * end answers with a proof of its own. Without a key there is no handshake. Later messages are not authenticated: the
 * key keeps strangers from opening links, not an attacker who can change bytes on the way. Not thread-safe.
 */
class link_handshake
{
public:
    /** @param key Of the fleet; empty for no handshake. */
    link_handshake(std::string key, link_end end);

    /** @return Whether other messages may be sent and received. */
    bool isComplete() const;

    /** @return The message that opens the link, if this end has to send one. */
    std::optional<link_message> begin();

    /**
     * Processes a message that was received before the handshake was complete.
     * @return The message to send in reply, if any.
     * @throws link_error if the peer doesn't prove that it has the key.
     */
    std::optional<link_message> receive(const link_message &message);

private:
    std::string proofOf(link_end end) const;

    std::string m_key;
    link_end m_end;
    std::string m_ownNonce;
    std::string m_peerNonce;
    bool m_isComplete;
};

} // namespace cicadamux
