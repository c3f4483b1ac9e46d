#pragma once

#include "generated/peer.capnp.h"
#include "lists/lists_delta.h"

namespace sassafras {

/** Writes a delta into an RPC message. */
void WriteDelta(const ListsDelta& delta, wire::ListsDelta::Builder out);

/** Reads a delta from an RPC message without checking it; ApplyDelta() does that. */
ListsDelta ReadDelta(wire::ListsDelta::Reader in);

}  // namespace sassafras
