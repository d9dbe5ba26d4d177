//! Code generated from `schema/peer.capnp`.

pub mod peer_capnp;
