//! Heartbeats, gossip, load deltas and leaving flags as pure state machines.
