//! Counts the requests that wait in this process until a target has capacity.

use skylarkpick_interface::ServiceName;
use std::collections::BTreeMap;

/// Requests that wait for capacity, by service and rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaitingRequests {
    counts: BTreeMap<(ServiceName, u8), u32>,
}

impl WaitingRequests {
    /// Counts a request as waiting.
    ///
    /// ```
    /// use skylarkpick_schedule::WaitingRequests;
    /// let mut waiting = WaitingRequests::default();
    /// waiting.begin("tala-llm", 1);
    /// assert!(waiting.has_more_urgent("tala-llm", 2));
    /// assert!(!waiting.has_more_urgent("tala-llm", 1));
    /// waiting.end("tala-llm", 1);
    /// assert!(!waiting.has_more_urgent("tala-llm", 2));
    /// ```
    pub fn begin(&mut self, service: &str, rank: u8) {
        *self.counts.entry((service.to_string(), rank)).or_default() += 1;
    }

    /// Counts a request as no longer waiting.
    pub fn end(&mut self, service: &str, rank: u8) {
        let key = (service.to_string(), rank);
        if let Some(count) = self.counts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Returns whether a request with a lower rank, which is more urgent, waits for the service.
    pub fn has_more_urgent(&self, service: &str, rank: u8) -> bool {
        self.counts.keys().any(|(waiting_for, other)| waiting_for == service && *other < rank)
    }

    /// Returns how many requests of the same rank or more urgent ones wait for the service.
    ///
    /// ```
    /// use skylarkpick_schedule::WaitingRequests;
    /// let mut waiting = WaitingRequests::default();
    /// waiting.begin("tala-llm", 1);
    /// assert_eq!(waiting.count_ahead("tala-llm", 1), 1);
    /// assert_eq!(waiting.count_ahead("tala-llm", 0), 0);
    /// ```
    pub fn count_ahead(&self, service: &str, rank: u8) -> u32 {
        let of_service = self.counts.iter().filter(|((waiting_for, _), _)| waiting_for == service);
        of_service.filter(|((_, other), _)| *other <= rank).map(|(_, count)| count).sum()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.counts.values().map(|count| *count as usize).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
