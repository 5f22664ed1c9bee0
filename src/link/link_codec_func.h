/** @file link_codec_func.h Encodes and decodes link messages with protobuf. */

#pragma once

#include "link/link_type.h"

#include <string>
#include <string_view>

namespace cicadamux
{

/** Size of the length prefix of each message on a link, bytes. */
constexpr std::size_t frameHeaderSize = 4;

/** Encodes a message with its length prefix. */
std::string encodeFrame(const link_message &message);

/**
 * Decodes a message without its length prefix.
 * @throws link_error
 */
link_message decodeMessage(std::string_view bytes);

/** Decodes a length prefix. @param header At least frameHeaderSize bytes. */
std::size_t decodeFrameLength(std::string_view header);

} // namespace cicadamux
