//! Chooses which process serves the requests for a service that this process is cut off from.

use std::{collections::BTreeMap, time::Duration};

/// Time for which the answer of a process counts.
const ANSWER_LIFETIME: Duration = Duration::from_millis(2_500);
/// Requests more that a process of the same data centre gets before one of another does.
const SAME_DATA_CENTRE_ADVANTAGE: u32 = 4;
/// Requests of this process that another one serves at the same time.
const REQUESTS_LIMIT: u32 = 48;

/// Address of an entry process for messages of others.
pub type HelperAddress = String;

/// Other processes, by what they said of one service.
///
/// ```
/// use skylarkpick_schedule::Helpers;
/// use std::time::Duration;
/// let (mut helpers, now) = (Helpers::default(), Duration::from_secs(1));
/// helpers.note_answer("10.0.0.1:80", true, true, now);
/// helpers.note_answer("10.0.0.2:80", false, true, now);
/// assert_eq!(helpers.choose(&[], now).as_deref(), Some("10.0.0.1:80"));
/// assert_eq!(helpers.choose(&[], now + Duration::from_secs(5)), None, "the answer is too old");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    processes: BTreeMap<HelperAddress, Helper>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Helper {
    is_in_data_centre: bool,
    /// Time at which the process said that it reaches the service, if that was its last word.
    reached_at: Option<Duration>,
    /// Requests of this process that it serves.
    requests: u32,
}

impl Helpers {
    /// Records whether a process reaches the service, by its own word or by the end of a request.
    pub fn note_answer(
        &mut self,
        address: &str,
        reaches: bool,
        is_in_data_centre: bool,
        now: Duration,
    ) {
        let helper = self.processes.entry(address.to_string()).or_default();
        helper.is_in_data_centre = is_in_data_centre;
        helper.reached_at = reaches.then_some(now);
        self.processes.retain(|_, it| it.reached_at.is_some() || it.requests > 0);
    }

    /// Records that a process doesn't reach the service, or doesn't take requests for it.
    pub fn note_refused(&mut self, address: &str) {
        if let Some(helper) = self.processes.get_mut(address) {
            helper.reached_at = None;
        }
    }

    /// Returns the process with the fewest requests of this one, those of the same data centre first,
    /// and without those in `avoid`. `None` if no process is known to reach the service.
    pub fn choose(&self, avoid: &[HelperAddress], now: Duration) -> Option<HelperAddress> {
        let reaching = self.processes.iter().filter(|(address, it)| {
            it.requests < REQUESTS_LIMIT
                && it.reached_at.is_some_and(|at| now < at + ANSWER_LIFETIME)
                && !avoid.contains(address)
        });
        let cost = |helper: &Helper| {
            let distance = if helper.is_in_data_centre { 0 } else { SAME_DATA_CENTRE_ADVANTAGE };
            helper.requests + distance
        };
        reaching.min_by_key(|(_, it)| cost(it)).map(|(address, _)| address.clone())
    }

    /// Returns whether any process is known to reach the service.
    pub fn is_any_known(&self, now: Duration) -> bool {
        let mut times = self.processes.values().filter_map(|it| it.reached_at);
        times.any(|at| now < at + ANSWER_LIFETIME)
    }

    /// Counts a request that a process serves.
    pub fn begin(&mut self, address: &str) {
        self.processes.entry(address.to_string()).or_default().requests += 1;
    }

    /// Counts the end of such a request.
    pub fn end(&mut self, address: &str) {
        if let Some(helper) = self.processes.get_mut(address) {
            helper.requests = helper.requests.saturating_sub(1);
        }
    }
}
