//! Which weights new runs may begin on.

use skylarkpick_interface::{ModelName, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// The newest weights of each model, and how long older ones may still be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedWeightsView {
    models: BTreeMap<ModelName, Named>,
    usable_for: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Named {
    version: WeightVersion,
    since: Duration,
}

impl NamedWeightsView {
    /// Opens a view in which older weights are used for `usable_for` after newer ones were named.
    ///
    /// ```
    /// use skylarkpick_schedule::NamedWeightsView;
    /// use std::time::Duration;
    /// let mut view = NamedWeightsView::open(Duration::from_secs(10));
    /// view.name("tala", 2, Duration::ZERO);
    /// assert!(view.is_usable("tala", 1, Duration::from_secs(9)));
    /// assert!(!view.is_usable("tala", 1, Duration::from_secs(11)));
    /// ```
    pub fn open(usable_for: Duration) -> NamedWeightsView {
        NamedWeightsView { models: BTreeMap::new(), usable_for }
    }

    /// Takes in newly named weights; lower versions are ignored. Gives whether anything changed.
    pub fn name(&mut self, model: &str, version: WeightVersion, now: Duration) -> bool {
        if self.newest(model).is_some_and(|known| known >= version) {
            return false;
        }
        self.models.insert(model.to_string(), Named { version, since: now });
        true
    }

    /// The newest weights of a model, if any were named.
    pub fn newest(&self, model: &str) -> Option<WeightVersion> {
        self.models.get(model).map(|named| named.version)
    }

    /// Whether a run may begin on these weights now.
    pub fn is_usable(&self, model: &str, version: WeightVersion, now: Duration) -> bool {
        self.models
            .get(model)
            .is_none_or(|named| version >= named.version || now < named.since + self.usable_for)
    }

    /// Time since newer weights than these were named, if they were.
    pub fn age_of_newer(
        &self,
        model: &str,
        version: WeightVersion,
        now: Duration,
    ) -> Option<Duration> {
        let named = self.models.get(model).filter(|named| named.version > version)?;
        Some(now.saturating_sub(named.since))
    }

    /// Models with their newest weights.
    pub fn models(&self) -> impl Iterator<Item = (&str, WeightVersion)> {
        self.models.iter().map(|(model, named)| (model.as_str(), named.version))
    }
}
