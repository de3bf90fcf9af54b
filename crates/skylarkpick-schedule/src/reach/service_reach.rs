//! Detects that this process reaches no target of a service, while others may.
//!
//! Only new connections count: those that were open before may live on, or be silent for long before
//! they break.

use super::ConnectFailure;
use skylarkpick_interface::{ServiceName, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);
/// Targets that refused connections from which on a service is suspected. One may have ended.
const REFUSING_TARGETS_FLOOR: usize = 2;
/// Rounds of probes that succeed in a row before a service counts as reached again, while others serve
/// its requests. A single connection may get through a link that is still disturbed.
const REACHED_ROUNDS_FLOOR: u32 = 2;

/// Which services this process reaches targets of, by the connections that it opens.
///
/// ```
/// use skylarkpick_schedule::{ConnectFailure, ServiceReach};
/// use std::time::Duration;
/// let (mut reach, began) = (ServiceReach::default(), Duration::from_secs(60));
/// assert!(reach.note_failed("svc", "i-1", ConnectFailure::TimedOut, 9, began, began));
/// let has_helper = true;
/// assert!(reach.note_probed("svc", false, has_helper, began));
/// assert!(reach.is_cut_off("svc"));
/// assert!(!reach.note_probed("svc", true, has_helper, began), "one round doesn't suffice");
/// assert!(reach.note_probed("svc", true, has_helper, began));
/// assert!(!reach.is_cut_off("svc"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    services: BTreeMap<ServiceName, Reach>,
}

#[derive(Clone, Debug, Default)]
struct Reach {
    /// Time of the last connection that was opened.
    connected_at: Option<Duration>,
    /// Failed connections since then, by target.
    failures: BTreeMap<TargetId, (Duration, ConnectFailure)>,
    is_cut_off: bool,
    /// Rounds of probes in a row that reached a target while cut off.
    reached_rounds: u32,
}

impl ServiceReach {
    /// Records that a connection to a target of a service was opened.
    pub fn note_connected(&mut self, service: &str, now: Duration) {
        let reach = self.services.entry(service.to_string()).or_default();
        reach.connected_at = Some(now);
        reach.failures.clear();
    }

    /// Records that a connection to a target failed that was begun at `began`. Returns whether the
    /// service is suspected, so that its other targets are to be probed: no connection to any was
    /// opened since, and one timed out, or as many were refused as there are targets, or two.
    pub fn note_failed(
        &mut self,
        service: &str,
        target: &str,
        failure: ConnectFailure,
        targets: usize,
        began: Duration,
        now: Duration,
    ) -> bool {
        let reach = self.services.entry(service.to_string()).or_default();
        if reach.is_cut_off || reach.connected_at.is_some_and(|at| at >= began) {
            return false;
        }
        reach.failures.retain(|_, (at, _)| now < *at + FAILURE_LIFETIME);
        reach.failures.insert(target.to_string(), (now, failure));
        let has_timed_out =
            reach.failures.values().any(|(_, failure)| *failure == ConnectFailure::TimedOut);
        has_timed_out || reach.failures.len() >= REFUSING_TARGETS_FLOOR.min(targets)
    }

    /// Applies a round of probes, which reached a target of the service or none, while another process
    /// is known to reach it or none is. Returns whether this changes whether the process counts as cut
    /// off from the service.
    pub fn note_probed(
        &mut self,
        service: &str,
        is_reached: bool,
        has_helper: bool,
        now: Duration,
    ) -> bool {
        let reach = self.services.entry(service.to_string()).or_default();
        let was_cut_off = reach.is_cut_off;
        if is_reached {
            reach.connected_at = Some(now);
            reach.failures.clear();
            reach.reached_rounds += 1;
            reach.is_cut_off &= has_helper && reach.reached_rounds < REACHED_ROUNDS_FLOOR;
        } else {
            reach.reached_rounds = 0;
            reach.is_cut_off = true;
        }
        reach.is_cut_off != was_cut_off
    }

    /// Forgets a service that has no targets.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }

    /// Returns whether this process reaches no target of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|reach| reach.is_cut_off)
    }

    /// Returns the time of the last connection to a target of a service.
    pub fn connected_at(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.connected_at
    }

    /// Returns the services that this process is cut off from.
    pub fn cut_off(&self) -> BTreeSet<ServiceName> {
        let cut_off = self.services.iter().filter(|(_, reach)| reach.is_cut_off);
        cut_off.map(|(service, _)| service.clone()).collect()
    }
}
