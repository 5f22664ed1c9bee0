/** @file link_handshake.cpp Proof at the start of a link that both ends have the fleet's key. */

#include "link/link_handshake_base.h"

#include "core/mac_func.h"

namespace cicadamux
{

namespace
{
constexpr std::size_t nonceBytes = 16;

template<typename Expected>
const Expected &expect(const link_message &message)
{
    const auto *expected = std::get_if<Expected>(&message);
    if (expected == nullptr) {
        throw link_error("unexpected message during the handshake of a link");
    }
    return *expected;
}
} // namespace

link_handshake::link_handshake(std::string key, link_end end)
    : m_key(std::move(key))
    , m_end(end)
    , m_ownNonce(m_key.empty() ? std::string() : randomBytes(nonceBytes))
    , m_isComplete(m_key.empty())
{
}

bool link_handshake::isComplete() const
{
    return m_isComplete;
}

std::optional<link_message> link_handshake::begin()
{
    if (m_isComplete || m_end == link_end::accepting) {
        return std::nullopt;
    }
    return link_hello{m_ownNonce};
}

std::optional<link_message> link_handshake::receive(const link_message &message)
{
    if (m_end == link_end::connecting) {
        const auto &challenge = expect<link_challenge>(message);
        m_peerNonce = challenge.nonce;
        if (!isSameMac(challenge.proof, proofOf(link_end::accepting))) {
            throw link_error("the accepting end of a link has another key");
        }
        m_isComplete = true;
        return link_proof{proofOf(link_end::connecting)};
    }
    if (m_peerNonce.empty()) {
        m_peerNonce = expect<link_hello>(message).nonce;
        if (m_peerNonce.size() != nonceBytes) {
            throw link_error("nonce of " + std::to_string(m_peerNonce.size()) + " bytes");
        }
        return link_challenge{m_ownNonce, proofOf(link_end::accepting)};
    }
    if (!isSameMac(expect<link_proof>(message).proof, proofOf(link_end::connecting))) {
        throw link_error("the connecting end of a link has another key");
    }
    m_isComplete = true;
    return std::nullopt;
}

/** Both nonces and the prover's end are covered, so that a proof is of no use on another link or in the other direction. */
std::string link_handshake::proofOf(link_end end) const
{
    const bool isConnecting = m_end == link_end::connecting;
    const std::string &connectingNonce = isConnecting ? m_ownNonce : m_peerNonce;
    const std::string &acceptingNonce = isConnecting ? m_peerNonce : m_ownNonce;
    return makeMac(m_key, (end == link_end::connecting ? "connecting" : "accepting") + connectingNonce + acceptingNonce);
}

} // namespace cicadamux
