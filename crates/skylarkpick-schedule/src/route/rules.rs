//! Rules of the router that are not part of the configuration.

use std::time::Duration;

/// Rules of the router that are not part of the configuration. Replay varies them to compare
/// policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRules {
    /// Largest number of runners of which all are evaluated. Of more runners, the holders and a
    /// random sample are evaluated.
    pub scan_limit: usize,
    /// Runners sampled in addition to the holders.
    pub sample_size: usize,
    /// Whether requests sent since a load report was taken are added to it.
    pub corrects_reports: bool,
    /// Whether saved copies in stores are used.
    pub uses_stores: bool,
    /// Whether prefixes in the caches of runners are considered.
    pub uses_holders: bool,
    /// Whether a prompt that a runner is computing for another request counts as held there.
    pub expects_pending: bool,
    /// Weight of the prefill seconds by which a request delays later ones.
    pub occupancy_weight: f64,
    /// Age of a runner's last load report after which the runner counts as unreachable.
    pub report_timeout: Duration,
    /// Delay to a target in another data centre of the same region.
    pub same_region_delay: Duration,
    /// Delay to a target in another region.
    pub other_region_delay: Duration,
}

/// The rules that entry processes use.
pub const DEFAULT_RULES: RoutingRules = RoutingRules {
    scan_limit: 32,
    sample_size: 4,
    corrects_reports: true,
    uses_stores: true,
    uses_holders: true,
    expects_pending: true,
    occupancy_weight: 0.0,
    report_timeout: Duration::from_secs(8),
    same_region_delay: Duration::from_millis(3),
    other_region_delay: Duration::from_millis(60),
};

impl Default for RoutingRules {
    fn default() -> RoutingRules {
        DEFAULT_RULES
    }
}
