#pragma once

#include "generated/peer.capnp.h"
#include "lists/lists_delta.h"

namespace sassafras {

/** Writes a delta into an RPC answer. */
void WriteDelta(const ListsDelta& delta, wire::ListsDelta::Builder out);

/** Reads a delta from an RPC answer; ApplyDelta() checks it. */
ListsDelta ReadDelta(wire::ListsDelta::Reader in);

}  // namespace sassafras
