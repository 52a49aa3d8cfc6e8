#pragma once

/// Public header of the Wire library: the typed messages between processes and
/// their codecs.
///
/// Every message travels in an envelope of 12 bytes: magic (16 bits), version
/// (8), type (8), body length (32), body checksum (32), all little endian; the
/// body is cereal portable_binary. A decoder takes one whole envelope. It
/// returns InvalidArgument, and allocates no more than the received bytes
/// justify, when the input is cut off, over-long, altered, of another version
/// or of a type that does not belong to the channel.

#include "Wire/ConsensusMessages.h"
#include "Wire/DataMessages.h"
#include "Wire/Envelope.h"
#include "Wire/LogCommands.h"
#include "Wire/NodeMessages.h"
#include "Wire/PeerMessages.h"
#include "Wire/SessionMessages.h"
