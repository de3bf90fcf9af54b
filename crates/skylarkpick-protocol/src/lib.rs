//! Inner messages and stored objects: the `.proto` files and their committed generated code.

/// Messages between entry processes.
#[allow(missing_docs)]
pub mod peer {
    include!("generated/skylarkpick.peer.rs");
}

/// Objects that the system keeps in the platform's service.
#[allow(missing_docs)]
pub mod stored {
    include!("generated/skylarkpick.stored.rs");
}

/// What resume tokens say.
#[allow(missing_docs)]
pub mod resume {
    include!("generated/skylarkpick.resume.rs");
}
