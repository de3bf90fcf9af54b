//! Weight versions that new runs may start on.

use skylarkpick_interface::{ModelName, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// Versions remembered for each model. Older ones have long been out of use.
const VERSIONS_LIMIT: usize = 8;

/// Desired weight versions of each model, and how long replaced ones may still be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredWeightsView {
    /// For each model, its versions with the time at which each became the desired one.
    models: BTreeMap<ModelName, BTreeMap<WeightVersion, Duration>>,
    usable_for: Duration,
}

impl DesiredWeightsView {
    /// Opens an empty view. Replaced weights stay usable for `usable_for`.
    ///
    /// ```
    /// use skylarkpick_schedule::DesiredWeightsView;
    /// use std::time::Duration;
    /// let mut view = DesiredWeightsView::open(Duration::from_secs(10));
    /// view.set_desired("tala", 2, Duration::ZERO);
    /// assert!(view.is_usable("tala", 1, Duration::from_secs(9)));
    /// assert!(!view.is_usable("tala", 1, Duration::from_secs(11)));
    /// ```
    pub fn open(usable_for: Duration) -> DesiredWeightsView {
        DesiredWeightsView { models: BTreeMap::new(), usable_for }
    }

    /// Sets the time since which a version of a model has been desired. Of several times the
    /// earliest stays, and the highest version is the desired one. Returns whether anything changed.
    ///
    /// ```
    /// use skylarkpick_schedule::DesiredWeightsView;
    /// use std::time::Duration;
    /// let mut view = DesiredWeightsView::open(Duration::from_secs(10));
    /// assert!(view.set_desired("tala", 3, Duration::from_secs(20)));
    /// assert!(view.set_desired("tala", 2, Duration::from_secs(5)));
    /// assert!(!view.set_desired("tala", 2, Duration::from_secs(6)));
    /// assert_eq!(view.newest("tala"), Some(3));
    /// assert!(!view.is_usable("tala", 1, Duration::from_secs(20)));
    /// ```
    pub fn set_desired(&mut self, model: &str, version: WeightVersion, since: Duration) -> bool {
        let versions = self.models.entry(model.to_string()).or_default();
        // Versions are named in ascending order, so their times ascend too.
        let next_since = versions.range(version..).next().map(|(_, at)| *at);
        let since = next_since.map_or(since, |next_since| next_since.min(since));
        let mut is_changed = versions.insert(version, since) != Some(since);
        for (_, at) in versions.range_mut(..version).filter(|(_, at)| **at > since) {
            *at = since;
            is_changed = true;
        }
        while versions.len() > VERSIONS_LIMIT {
            versions.pop_first();
        }
        is_changed
    }

    /// Returns the desired version of a model, if one was set.
    pub fn newest(&self, model: &str) -> Option<WeightVersion> {
        let versions = self.models.get(model)?;
        versions.last_key_value().map(|(version, _)| *version)
    }

    /// Returns whether a run may start on this version now.
    ///
    /// The period of use ends `usable_for` after the first newer version was set. A second newer
    /// version doesn't prolong it.
    pub fn is_usable(&self, model: &str, version: WeightVersion, now: Duration) -> bool {
        self.age_of_newer(model, version, now).is_none_or(|age| age < self.usable_for)
    }

    /// Returns the time since the first newer version was set, if there is one.
    pub fn age_of_newer(
        &self,
        model: &str,
        version: WeightVersion,
        now: Duration,
    ) -> Option<Duration> {
        self.replaced_at(model, version).map(|since| now.saturating_sub(since))
    }

    /// Returns the time at which the first newer version was set, if there is one.
    pub fn replaced_at(&self, model: &str, version: WeightVersion) -> Option<Duration> {
        let newer = self.models.get(model)?.range(version.checked_add(1)?..).next();
        newer.map(|(_, since)| *since)
    }

    /// Returns the models with their desired versions.
    pub fn models(&self) -> impl Iterator<Item = (&str, WeightVersion)> {
        let newest = |versions: &BTreeMap<WeightVersion, Duration>| {
            versions.last_key_value().map(|(version, _)| *version)
        };
        self.models
            .iter()
            .filter_map(move |(model, versions)| Some((model.as_str(), newest(versions)?)))
    }
}
