//! Which services this process reaches, and who serves their requests while it doesn't.

mod connect_failure;
mod helpers;
mod service_reach;

pub use connect_failure::ConnectFailure;
pub use helpers::{HelperAddress, Helpers};
pub use service_reach::ServiceReach;

#[cfg(test)]
mod tests;
