//! Protobuf messages between processes, of stored objects and of resume tokens: the `.proto` files
//! and the code generated from them, which is committed.

/// Messages between entry processes.
#[allow(missing_docs)]
pub mod peer {
    include!("generated/skylarkpick.peer.rs");
}

/// Objects stored on the platform.
#[allow(missing_docs)]
pub mod stored {
    include!("generated/skylarkpick.stored.rs");
}

/// Content of resume tokens.
#[allow(missing_docs)]
pub mod resume {
    include!("generated/skylarkpick.resume.rs");
}
