//! The measurements, one subject a file.

mod claims;
mod configuration;
mod directory;
mod gossip;
mod queue;
mod routing;
mod stream;
mod timing;

use crate::slope::Slopes;

/// Measures every slope; takes some seconds. `progress` is told what is measured now.
pub fn measure_slopes(mut progress: impl FnMut(&str)) -> Slopes {
    let mut slopes = Slopes::default();
    // Memory first: what a later measurement gives back would hide growth.
    progress("open streams");
    stream::measure(&mut slopes);
    progress("a routing decision");
    routing::measure(&mut slopes);
    progress("queues and limits");
    queue::measure(&mut slopes);
    progress("the prefix directory");
    directory::measure(&mut slopes);
    progress("claims");
    claims::measure(&mut slopes);
    progress("the configuration");
    configuration::measure(&mut slopes);
    progress("membership");
    gossip::measure(&mut slopes);
    slopes
}
