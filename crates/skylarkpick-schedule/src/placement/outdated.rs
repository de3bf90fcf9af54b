//! Finds parts in managed stores that belong to replaced weights and can be freed.

use super::{
    parts::{CacheKind, PartKey},
    selection::Placement,
};
use skylarkpick_interface::{CacheEpoch, ModelName, WeightVersion};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time after the last runner stopped serving a version before its parts are freed. A fetch that is
/// still in progress waits for two seconds at most and then takes less than a second, even over a
/// slow link.
const UNSERVED_PERIOD: Duration = Duration::from_millis(4_500);
/// Parts of a store and model that one call returns at most.
const PARTS_LIMIT: usize = 200;

/// Parts of one store that no run can request any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutdatedParts {
    /// The store.
    pub store: SocketAddr,
    /// Incarnation of the store that holds them.
    pub epoch: CacheEpoch,
    /// The parts.
    pub parts: Vec<PartKey>,
}

/// Tracks the lowest version that is still served of each model, and finds the parts of versions
/// below it.
#[derive(Clone, Debug, Default)]
pub struct OutdatedPartFinder {
    lowest_served: BTreeMap<ModelName, LowestServed>,
}

#[derive(Clone, Copy, Debug)]
struct LowestServed {
    version: WeightVersion,
    since: Duration,
}

impl OutdatedPartFinder {
    /// Returns the parts that may be freed now.
    ///
    /// Call it often: the period for which a version has been unserved counts from the first call
    /// that notices it.
    ///
    /// ```
    /// use skylarkpick_schedule::{OutdatedPartFinder, Placement};
    /// use std::time::Duration;
    /// let placement = Placement::open(Duration::from_secs(10));
    /// let mut finder = OutdatedPartFinder::default();
    /// assert!(finder.find(&placement, Duration::ZERO).is_empty());
    /// ```
    pub fn find(&mut self, placement: &Placement, now: Duration) -> Vec<OutdatedParts> {
        let models: Vec<(ModelName, WeightVersion)> = placement
            .weights
            .models()
            .filter_map(|(model, _)| Some((model.to_string(), lowest_served(placement, model)?)))
            .collect();
        let mut outdated = Vec::new();
        for (model, version) in models {
            let lowest = LowestServed { version, since: now };
            let known = self.lowest_served.entry(model.clone()).or_insert(lowest);
            if known.version != version {
                *known = lowest;
            }
            if now >= known.since + UNSERVED_PERIOD {
                outdated.extend(parts_below_version(placement, &model, version, now));
            }
        }
        outdated
    }
}

/// Returns the lowest version that any runner serves, as far as this process observed.
fn lowest_served(placement: &Placement, model: &str) -> Option<WeightVersion> {
    let versions = placement.targets().values().filter_map(|target| target.weight_version(model));
    versions.min()
}

fn parts_below_version(
    placement: &Placement,
    model: &str,
    version: WeightVersion,
    now: Duration,
) -> Vec<OutdatedParts> {
    let stores = placement
        .parts
        .caches()
        .filter(|(_, cache)| cache.kind == CacheKind::ManagedStore && cache.is_fresh(now));
    let outdated = stores.filter_map(|(store, cache)| {
        let old = cache.keys().filter(|key| {
            scope_version(&key.scope, model).is_some_and(|of_part| of_part < version)
        });
        let parts: Vec<PartKey> = old.take(PARTS_LIMIT).cloned().collect();
        Some(OutdatedParts { store: *store, epoch: cache.epoch?, parts })
    });
    outdated.filter(|found| !found.parts.is_empty()).collect()
}

/// Returns the weight version in a cache scope, if the scope belongs to the model.
fn scope_version(scope: &str, model: &str) -> Option<WeightVersion> {
    let rest = scope.strip_prefix(model)?.strip_prefix('.')?;
    rest.split('.').next()?.parse().ok()
}
