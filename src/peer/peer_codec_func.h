/** @file peer_codec_func.h Conversion between protocol messages and the types of cicadamux. */

#pragma once

#include "fleet/fleet_base.h"
#include "peer/peer_type.h"

#include <peer.pb.h>

namespace cicadamux
{

/** A message from a peer violates the protocol. */
class peer_format_error : public error
{
public:
    using error::error;
};

/** @param now Current time, to convert between the deadline and the remaining time. */
wire::Call_Request encodeCall(const peer_call &call, clock_ms now);

/**
 * @param now Current time, to convert between the deadline and the remaining time.
 * @throws peer_format_error
 */
peer_call decodeCall(const wire::Call_Request &message, clock_ms now);

wire::Call_Reply encodeReply(const peer_reply &reply);

/** @throws peer_format_error */
peer_reply decodeReply(wire::Call_Reply &&message);

wire::Exchange_Request encodeExchange(const exchange_request &request);

/** @throws peer_format_error */
exchange_request decodeExchange(const wire::Exchange_Request &message);

wire::Exchange_Reply encodeExchangeReply(const exchange_reply &reply);

/** @throws peer_format_error */
exchange_reply decodeExchangeReply(const wire::Exchange_Reply &message);

wire::Member encodeMember(const member_record &record);

/** @throws peer_format_error */
member_record decodeMember(const wire::Member &message);

} // namespace cicadamux
