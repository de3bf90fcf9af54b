//! The measurements of the slopes, one module per subject.

mod claims;
mod configuration;
mod directory;
mod gossip;
mod queue;
mod routing;
mod stream;
mod timing;

use crate::slope::Slopes;

/// Measures every slope, which takes about half a minute in a release build. `progress` is called
/// with the subject of each measurement before it starts.
pub fn measure_slopes(mut progress: impl FnMut(&str)) -> Slopes {
    let mut slopes = Slopes::default();
    // Streams are measured first: memory freed by another measurement would be reused and hide
    // their growth.
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
