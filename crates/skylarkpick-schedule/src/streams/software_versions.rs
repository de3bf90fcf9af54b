//! Software versions of the targets of each service, now and recently.

use serde::{Deserialize, Serialize};
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

/// Software versions that a process has seen recently.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareHistory {
    /// Time for which the process has known the registrations without a gap.
    pub known_for: Duration,
    /// Age of its registrations.
    pub age: Duration,
    /// The versions.
    pub versions: Vec<SeenVersion>,
}

/// Software version of a service that a process has seen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` for a target whose version is not known.
    pub version: Option<SoftwareVersion>,
    /// Time since a target on this version was last registered.
    pub seen_before: Duration,
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
    ///         cold_remaining: None,
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
        let (since, until) = self.known.unwrap_or((at, at));
        self.known = Some((since, until.max(at)));
    }

    /// Records that all registrations are read anew at the time `now`, in place of their changes.
    /// Targets that came and went in a gap before remain unknown.
    pub fn note_read_anew(&mut self, now: Duration) {
        self.known = self.known.filter(|(_, until)| now <= *until + CURRENT_AGE_LIMIT);
    }

    /// Records that targets may have come and gone unseen until the time `now`.
    pub fn note_gap(&mut self, now: Duration) {
        self.known = self.known.map(|(_, until)| (now, until.max(now)));
    }

    /// Returns whether the registrations are known up to now.
    pub fn is_current(&self, now: Duration) -> bool {
        let is_recent = self.known.is_some_and(|(_, until)| now <= until + CURRENT_AGE_LIMIT);
        is_recent && !self.is_disconnected
    }

    /// Returns whether a target of a service has run another software version within the time
    /// `window`, as far as is known.
    pub fn has_seen_other(
        &self,
        service: &str,
        version: &str,
        window: Duration,
        now: Duration,
    ) -> bool {
        self.versions(service, window, now).any(|it| it.as_deref() != Some(version))
    }

    /// Returns whether the targets of a service have run several software versions within the time
    /// `window`.
    pub fn has_several(&self, service: &str, window: Duration, now: Duration) -> bool {
        let mut versions = self.versions(service, window, now);
        let first = versions.next();
        first.is_some_and(|first| versions.any(|version| version != first))
    }

    /// Returns the versions of the targets of a service now and within the time `window`.
    fn versions(
        &self,
        service: &str,
        window: Duration,
        now: Duration,
    ) -> impl Iterator<Item = &Option<SoftwareVersion>> {
        let registered = self.targets.values().filter(move |(name, _)| name == service);
        let left = self.left.get(service).into_iter().flatten();
        let left = left.filter(move |(_, left_at)| now < **left_at + window);
        registered.map(|(_, version)| version).chain(left.map(|(version, _)| version))
    }

    /// Returns the versions that were seen recently, for another process.
    pub fn history(&self, now: Duration) -> Option<SoftwareHistory> {
        let (since, until) = self.known?;
        let registered = self.targets.values().map(|(service, version)| SeenVersion {
            service: service.clone(),
            version: version.clone(),
            seen_before: Duration::ZERO,
        });
        let left = self.left.iter().flat_map(|(service, versions)| {
            versions.iter().map(|(version, left_at)| SeenVersion {
                service: service.clone(),
                version: version.clone(),
                seen_before: now.saturating_sub(*left_at),
            })
        });
        Some(SoftwareHistory {
            known_for: now.saturating_sub(since),
            age: now.saturating_sub(until),
            versions: registered.chain(left).collect(),
        })
    }

    /// Adds the history of another process, received at the time `now`. It counts only if it reaches
    /// up to the time since which this process knows the registrations itself.
    pub fn extend_history(&mut self, history: &SoftwareHistory, now: Duration) {
        let Some((since, until)) = self.known else { return };
        if now.saturating_sub(history.age) < since {
            return;
        }
        self.known = Some((since.min(now.saturating_sub(history.known_for)), until));
        for seen in &history.versions {
            let seen_at = now.saturating_sub(seen.seen_before);
            let versions = self.left.entry(seen.service.clone()).or_default();
            let left_at = versions.entry(seen.version.clone()).or_default();
            *left_at = seen_at.max(*left_at);
        }
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
        let (since, _) = self.known?;
        if window > MEMORY || now < since + window || !self.is_current(now) {
            return None;
        }
        let mut versions = self.versions(service, window, now);
        let first = versions.next()?.clone()?;
        versions.all(|version| version.as_ref() == Some(&first)).then_some(first)
    }
}
