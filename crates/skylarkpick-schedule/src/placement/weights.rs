//! Which weights new runs may begin on.

use skylarkpick_interface::{ModelName, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// Versions of a model that are remembered; older ones are long out of use.
const VERSIONS_LIMIT: usize = 8;

/// The newest weights of each model, and how long older ones may still be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredWeightsView {
    /// For each model, its versions with the time at which each was named.
    models: BTreeMap<ModelName, BTreeMap<WeightVersion, Duration>>,
    usable_for: Duration,
}

impl DesiredWeightsView {
    /// Opens a view in which older weights are used for `usable_for` after newer ones were named.
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

    /// Takes in newly named weights; lower versions are ignored. Gives whether anything changed.
    pub fn set_desired(&mut self, model: &str, version: WeightVersion, now: Duration) -> bool {
        if self.newest(model).is_some_and(|known| known >= version) {
            return false;
        }
        let versions = self.models.entry(model.to_string()).or_default();
        versions.insert(version, now);
        while versions.len() > VERSIONS_LIMIT {
            versions.pop_first();
        }
        true
    }

    /// The newest weights of a model, if any were named.
    pub fn newest(&self, model: &str) -> Option<WeightVersion> {
        let versions = self.models.get(model)?;
        versions.last_key_value().map(|(version, _)| *version)
    }

    /// Whether a run may begin on these weights now. Each newer version counts from its own naming:
    /// a second one does not prolong the use of weights that the first one replaced.
    pub fn is_usable(&self, model: &str, version: WeightVersion, now: Duration) -> bool {
        self.age_of_newer(model, version, now).is_none_or(|age| age < self.usable_for)
    }

    /// Time since the first newer weights than these were named, if any were.
    pub fn age_of_newer(
        &self,
        model: &str,
        version: WeightVersion,
        now: Duration,
    ) -> Option<Duration> {
        let newer = self.models.get(model)?.range(version.checked_add(1)?..).next();
        newer.map(|(_, since)| now.saturating_sub(*since))
    }

    /// Models with their newest weights.
    pub fn models(&self) -> impl Iterator<Item = (&str, WeightVersion)> {
        let newest = |versions: &BTreeMap<WeightVersion, Duration>| {
            versions.last_key_value().map(|(version, _)| *version)
        };
        self.models
            .iter()
            .filter_map(move |(model, versions)| Some((model.as_str(), newest(versions)?)))
    }
}
