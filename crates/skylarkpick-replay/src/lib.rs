//! Traces, their generator, and replay of the routing policy in virtual time.
