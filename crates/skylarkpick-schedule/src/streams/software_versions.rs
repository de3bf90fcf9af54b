//! Software versions of the targets of each service, now and recently.

use skylarkpick_interface::{RegisteredTarget, ServiceName, SoftwareVersion, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Age up to which the known registrations count as current: two watches of 2.5 s, of which the
/// first one may have returned just before a change, and the time to notice a silent one.
const CURRENT_AGE_LIMIT: Duration = Duration::from_secs(6);
/// Time for which the versions of targets that are gone are remembered; above twice the longest
/// timeout of a route.
const MEMORY: Duration = Duration::from_secs(120);

/// Tracks which software versions the targets of each service run, and ran recently.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    targets: BTreeMap<TargetId, (ServiceName, Option<SoftwareVersion>)>,
    /// Versions that a target has left, with the time at which it did.
    left: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, Duration>>,
    /// Time since which the registrations are known without a gap, and time up to which they are.
    known: Option<(Duration, Duration)>,
    /// Whether the last call for the registrations failed.
    is_disconnected: bool,
}

impl SoftwareVersions {
    /// Applies a registration at the time `now`.
    ///
    /// ```
    /// use skylarkpick_interface::RegisteredTarget;
    /// use skylarkpick_schedule::SoftwareVersions;
    /// use std::{collections::BTreeMap, time::Duration};
    /// let mut versions = SoftwareVersions::default();
    /// versions.set_target(
    ///     &RegisteredTarget {
    ///         id: "i-1".to_string(),
    ///         service: "tala-llm".to_string(),
    ///         address: "10.1.0.1:80".parse()?,
    ///         data_centre: "mnl-a".to_string(),
    ///         slots: 6,
    ///         is_draining: false,
    ///         weights: BTreeMap::new(),
    ///         started_at_ms: 1,
    ///         software_version: Some("v1".to_string()),
    ///     },
    ///     Duration::ZERO,
    /// );
    /// let second = Duration::from_secs(1);
    /// for at in 0..=30 {
    ///     versions.note_complete(at * second);
    /// }
    /// let only = versions.only_version("tala-llm", 10 * second, 30 * second);
    /// assert_eq!(only.as_deref(), Some("v1"));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn set_target(&mut self, target: &RegisteredTarget, now: Duration) {
        let state = (target.service.clone(), target.software_version.clone());
        if let Some(previous) = self.targets.insert(target.id.clone(), state.clone())
            && previous != state
        {
            self.note_left(previous, now);
        }
    }

    /// Removes a target that is no longer registered.
    pub fn remove_target(&mut self, id: &str, now: Duration) {
        if let Some(previous) = self.targets.remove(id) {
            self.note_left(previous, now);
        }
    }

    fn note_left(&mut self, state: (ServiceName, Option<SoftwareVersion>), now: Duration) {
        let (service, version) = state;
        self.left.retain(|_, versions| {
            versions.retain(|_, left_at| now.saturating_sub(*left_at) < MEMORY);
            !versions.is_empty()
        });
        self.left.entry(service).or_default().insert(version, now);
    }

    /// Records that a call for the registrations failed.
    pub fn note_disconnected(&mut self) {
        self.is_disconnected = true;
    }

    /// Records that all registrations up to the time `at` have been applied.
    pub fn note_complete(&mut self, at: Duration) {
        self.is_disconnected = false;
        self.known = match self.known {
            // Of targets that came and went in a longer gap nothing may be known.
            Some((since, until)) if at <= until + CURRENT_AGE_LIMIT => Some((since, until.max(at))),
            _ => Some((at, at)),
        };
    }

    /// Returns the software version of a service if all its targets have run this version for the
    /// time `window`, as far as the registrations tell. `None` if there were several, or none, or if
    /// the registrations are not known for that time, or not current.
    pub fn only_version(
        &self,
        service: &str,
        window: Duration,
        now: Duration,
    ) -> Option<SoftwareVersion> {
        let (since, until) = self.known?;
        if self.is_disconnected || now > until + CURRENT_AGE_LIMIT || now < since + window {
            return None;
        }
        let registered = self.targets.values().filter(|(name, _)| name == service);
        let left = self.left.get(service).into_iter().flatten();
        let left = left.filter(|(_, left_at)| now < **left_at + window);
        let mut versions =
            registered.map(|(_, version)| version).chain(left.map(|(version, _)| version));
        let first = versions.next()?.clone()?;
        versions.all(|version| version.as_ref() == Some(&first)).then_some(first)
    }
}
