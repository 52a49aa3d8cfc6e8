#pragma once

/// Public header of the Wire library: the messages that the processes exchange
/// and their encoders and decoders.
///
/// A message consists of a 12-byte header (the envelope) and a body. The header
/// holds, in little-endian order: magic number (16 bits), version (8 bits),
/// message type (8 bits), body length (32 bits) and body checksum (32 bits).
/// The body is encoded in cereal's portable_binary format.
///
/// A decoder expects exactly one complete message. It returns InvalidArgument
/// if the input is truncated, too long, corrupted, of another version or of a
/// type that does not belong to the channel. Length fields are checked against
/// the received bytes before memory is allocated.

#include "Wire/ConsensusMessages.h"
#include "Wire/DataMessages.h"
#include "Wire/Envelope.h"
#include "Wire/LogCommands.h"
#include "Wire/NodeMessages.h"
#include "Wire/PeerMessages.h"
#include "Wire/SessionMessages.h"
