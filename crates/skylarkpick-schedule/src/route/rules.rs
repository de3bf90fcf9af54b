//! Rules of the router that no operator sets.

use std::time::Duration;

/// Rules of the router that no operator sets. Replay varies them to compare policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRules {
    /// Runners of a model up to which each one is weighed; above, holders and a sample are.
    pub scan_limit: usize,
    /// Runners picked at random beside the holders when not each one is weighed.
    pub sample_size: usize,
    /// Whether requests sent since a load report are added to it.
    pub corrects_reports: bool,
    /// Whether saved copies in stores are used.
    pub uses_stores: bool,
    /// Whether beliefs about cached prefixes are used.
    pub uses_holders: bool,
    /// Whether a prompt that another request computes now counts as held there.
    pub expects_pending: bool,
    /// Weight of the seconds of prefill that a choice takes from later requests.
    pub occupancy_weight: f64,
    /// Age of a runner's last report after which the runner counts as out of reach.
    pub report_timeout: Duration,
    /// Time added for a target in another data centre of the same region.
    pub same_region_delay: Duration,
    /// Time added for a target in another region.
    pub other_region_delay: Duration,
}

/// The rules that entry processes follow.
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
