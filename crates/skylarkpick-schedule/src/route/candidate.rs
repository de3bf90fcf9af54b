//! Tracked state of runners and stores.

use super::backlog::Backlog;
use skylarkpick_interface::{
    DataCentreId, LoadReport, ModelName, RunnerId, StoreId, StoreTier, WeightVersion,
};
use std::time::Instant;

/// Assumed slots of a runner before its first load report.
const INITIAL_SLOTS: u32 = 16;
/// Assumed prefill rate of a runner before its first load report.
const INITIAL_PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;
/// Assumed duration of a run before the first one has ended.
const INITIAL_RUN_SECONDS: f64 = 2.0;
/// Weight of a new value in the exponential moving averages.
const AVERAGE_SHARE: f64 = 0.1;
/// Assumed read rate of a store's disk before the first import, and its upper limit later, as a
/// share of the bandwidth of the store's link.
const INITIAL_DISK_SHARE: f64 = 0.25;

/// Tracked state of a runner.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the runner.
    pub name: RunnerId,
    /// Address of the runner.
    pub address: String,
    /// Model that the runner serves.
    pub model: ModelName,
    /// Data centre of the runner.
    pub data_centre: DataCentreId,
    /// Weights that the runner serves, once known.
    pub weight_version: Option<WeightVersion>,
    /// Whether the runner is loading other weights.
    pub loading: bool,
    /// Whether the runner is leaving, as reported by itself or by a peer.
    pub leaving: bool,
    /// Incarnation that this state belongs to, 0 before the first status.
    pub incarnation: u64,
    /// Whether the runner is ejected because of failures.
    pub ejected: bool,
    /// Last load report.
    pub load: LoadReport,
    /// When the last load report arrived.
    pub reported_at: Option<Instant>,
    /// When the runner was last found unreachable.
    pub failed_at: Option<Instant>,
    /// Runs of this process in flight at the runner.
    pub in_flight: u32,
    /// Prompt tokens that wait to be computed at the runner.
    pub backlog: Backlog,
    /// Runs at the runner by the last load report, corrected by runs sent and ended since.
    pub runs: Backlog,
    /// Moving average of the duration of a run.
    pub run_seconds: f64,
}

impl Candidate {
    pub(super) fn open(name: &str, data_centre: &str) -> Candidate {
        Candidate {
            name: name.to_string(),
            address: String::new(),
            model: String::new(),
            data_centre: data_centre.to_string(),
            weight_version: None,
            loading: false,
            leaving: false,
            incarnation: 0,
            ejected: false,
            load: LoadReport {
                slots: INITIAL_SLOTS,
                prefill_tokens_per_second: INITIAL_PREFILL_TOKENS_PER_SECOND,
                ..LoadReport::default()
            },
            reported_at: None,
            failed_at: None,
            in_flight: 0,
            backlog: Backlog::default(),
            runs: Backlog::default(),
            run_seconds: INITIAL_RUN_SECONDS,
        }
    }

    /// Returns the prompt tokens that the runner computes per second.
    pub fn prefill_rate(&self) -> f64 {
        self.load.prefill_tokens_per_second.max(1.0)
    }

    /// Returns the seconds until the runner can start on a new prompt.
    pub fn queue_seconds(&self, now: Instant) -> f64 {
        let prefill = self.backlog.estimate(self.prefill_rate(), now) / self.prefill_rate();
        let slots = f64::from(self.load.slots.max(1));
        let runs = self.runs.estimate(0.0, now).max(f64::from(self.in_flight));
        let excess = (runs + 1.0 - slots).max(0.0);
        prefill + excess / slots * self.run_seconds
    }

    pub(super) fn note_run_length(&mut self, seconds: f64) {
        self.run_seconds += AVERAGE_SHARE * (seconds - self.run_seconds);
    }
}

/// Tracked state of a store VM.
#[derive(Clone, Debug)]
pub struct StoreCandidate {
    /// Name of the store.
    pub name: StoreId,
    /// Address of the store.
    pub address: String,
    /// Data centre of the store.
    pub data_centre: DataCentreId,
    /// Configured bandwidth of the link.
    pub link_bytes_per_second: f64,
    /// Whether the store is leaving or unreachable, and must not be used.
    pub unusable: bool,
    /// Bytes that wait for the link.
    pub backlog: Backlog,
    /// Bytes that this process requested and that wait for the disk.
    pub disk_backlog: Backlog,
    /// Reported bandwidth of the link in bytes per second; the configured one before any report.
    pub link_rate: f64,
    /// Read rate of the disk in bytes per second, as imports observe it, including waits for other
    /// readers.
    pub disk_rate: f64,
}

impl StoreCandidate {
    pub(super) fn open(name: &str, data_centre: &str, link_bytes_per_second: f64) -> Self {
        StoreCandidate {
            name: name.to_string(),
            address: String::new(),
            data_centre: data_centre.to_string(),
            link_bytes_per_second,
            unusable: false,
            backlog: Backlog::default(),
            disk_backlog: Backlog::default(),
            link_rate: link_bytes_per_second,
            disk_rate: INITIAL_DISK_SHARE * link_bytes_per_second,
        }
    }

    /// Returns the seconds that a transfer takes if it is requested now, including the wait for
    /// transfers that were requested before.
    pub fn transfer_seconds(&self, size_bytes: u64, tier: StoreTier, now: Instant) -> f64 {
        let waiting_bytes = self.backlog.estimate(self.link_rate, now);
        let link_seconds = (waiting_bytes + size_bytes as f64) / self.link_rate;
        match tier {
            StoreTier::Memory => link_seconds,
            StoreTier::Disk => {
                let waiting_bytes = self.disk_backlog.estimate(self.disk_rate, now);
                link_seconds + (waiting_bytes + size_bytes as f64) / self.disk_rate
            }
        }
    }

    /// Adds a transfer that is requested now to the backlog.
    pub(super) fn note_transfer(&mut self, size_bytes: u64, tier: StoreTier, now: Instant) {
        self.backlog.add(size_bytes as f64, self.link_rate, now);
        if tier == StoreTier::Disk {
            self.disk_backlog.add(size_bytes as f64, self.disk_rate, now);
        }
    }

    /// Updates the disk rate from the total duration of an import. Reads for other processes show
    /// up as a slower disk.
    pub(super) fn note_import(&mut self, tier: StoreTier, size_bytes: u64, took_seconds: f64) {
        if tier == StoreTier::Disk {
            let disk_seconds = (took_seconds - size_bytes as f64 / self.link_rate).max(1e-3);
            let rate = size_bytes as f64 / disk_seconds;
            let limit = INITIAL_DISK_SHARE * self.link_bytes_per_second;
            self.disk_rate += AVERAGE_SHARE * (rate.clamp(1.0, limit) - self.disk_rate);
        }
    }
}
