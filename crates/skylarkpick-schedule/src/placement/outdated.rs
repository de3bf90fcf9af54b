//! Which parts of managed stores no run can ask for any more.

use super::{
    parts::{CacheKind, PartKey},
    place::Placement,
};
use skylarkpick_interface::{CacheEpoch, ModelName, WeightVersion};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time for which no runner has served a version before its parts are freed. A fetch waits two
/// seconds at most and then takes under a second, also over a slow link.
const UNUSED_TIME: Duration = Duration::from_millis(4_500);
/// Parts freed in one call.
const PARTS_LIMIT: usize = 200;

/// Parts of one store that no run can ask for any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutdatedParts {
    /// The store.
    pub store: SocketAddr,
    /// Its life in which it keeps them.
    pub epoch: CacheEpoch,
    /// The parts.
    pub parts: Vec<PartKey>,
}

/// Watches which versions are still served, and since when.
#[derive(Clone, Debug, Default)]
pub struct OutdatedPartFinder {
    lowest: BTreeMap<ModelName, Lowest>,
}

#[derive(Clone, Copy, Debug)]
struct Lowest {
    version: WeightVersion,
    since: Duration,
}

impl OutdatedPartFinder {
    /// Parts that may be freed now. To be called often: the time that a version is out of use counts
    /// from the first call that sees it.
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
            let known = self.lowest.entry(model.clone()).or_insert(Lowest { version, since: now });
            if known.version != version {
                *known = Lowest { version, since: now };
            }
            if now >= known.since + UNUSED_TIME {
                outdated.extend(parts_below(placement, &model, version, now));
            }
        }
        outdated
    }
}

/// The lowest version that a runner serves, by all that was seen.
fn lowest_served(placement: &Placement, model: &str) -> Option<WeightVersion> {
    let versions = placement.targets().values().filter_map(|target| target.weight_version(model));
    versions.min()
}

fn parts_below(
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
        let old = cache.names().filter(|key| {
            scope_version(&key.scope, model).is_some_and(|of_part| of_part < version)
        });
        let parts: Vec<PartKey> = old.take(PARTS_LIMIT).cloned().collect();
        Some(OutdatedParts { store: *store, epoch: cache.epoch?, parts })
    });
    outdated.filter(|found| !found.parts.is_empty()).collect()
}

/// Weight version that a scope of a model names.
fn scope_version(scope: &str, model: &str) -> Option<WeightVersion> {
    let rest = scope.strip_prefix(model)?.strip_prefix('.')?;
    rest.split('.').next()?.parse().ok()
}
