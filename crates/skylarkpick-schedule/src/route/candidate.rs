//! What the router knows of runners and stores.

use super::backlog::Backlog;
use skylarkpick_interface::{
    DataCentreId, LoadReport, ModelName, RunnerId, StoreId, StoreTier, WeightVersion,
};
use std::time::Instant;

/// Slots of a runner before its first report.
const INITIAL_SLOTS: u32 = 16;
/// Prefill rate of a runner before its first report, in tokens a second.
const INITIAL_PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;
/// Length of a run before the first one has ended, in seconds.
const INITIAL_RUN_SECONDS: f64 = 2.0;
/// Share of the newest value in a moving average.
const AVERAGE_SHARE: f64 = 0.1;
/// Disk rate of a store before the first import, as a share of its link.
const INITIAL_DISK_SHARE: f64 = 0.25;

/// A runner with what is known of it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the runner.
    pub name: RunnerId,
    /// Address of the runner.
    pub address: String,
    /// Model that it serves.
    pub model: ModelName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Weights that it serves, once known.
    pub weight_version: Option<WeightVersion>,
    /// Whether it loads other weights now.
    pub loading: bool,
    /// Whether it leaves, by anybody's word.
    pub leaving: bool,
    /// Start of the runner that all this is known of; 0 before the first status.
    pub incarnation: u64,
    /// Whether it is left out because of failures.
    pub ejected: bool,
    /// Its last load report.
    pub load: LoadReport,
    /// When the last report came.
    pub reported_at: Option<Instant>,
    /// When it could last not be reached.
    pub failed_at: Option<Instant>,
    /// Runs sent to it from here and not yet ended.
    pub in_flight: u32,
    /// Prompt tokens that wait to be computed there.
    pub backlog: Backlog,
    /// Runs there by the last report, corrected by what was sent and ended since.
    pub runs: Backlog,
    /// Mean length of a run in seconds.
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

    /// Prompt tokens computed in a second.
    pub fn prefill_rate(&self) -> f64 {
        self.load.prefill_tokens_per_second.max(1.0)
    }

    /// Seconds until the runner can begin with a new prompt.
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

/// A store VM with what is known of it.
#[derive(Clone, Debug)]
pub struct StoreCandidate {
    /// Name of the store.
    pub name: StoreId,
    /// Address of the store.
    pub address: String,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Bytes a second that its link carries by the configuration.
    pub link_bytes_per_second: f64,
    /// Whether it leaves or failed and is not to be used.
    pub unusable: bool,
    /// Bytes that wait for its link.
    pub backlog: Backlog,
    /// Bytes that were asked of its disk from here and wait.
    pub disk_backlog: Backlog,
    /// Bytes a second that imports from its link reach.
    pub link_rate: f64,
    /// Bytes a second that its disk reads, waiting behind other readers included.
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

    /// Seconds that a transfer begun now takes, behind what the link already carries.
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

    /// Counts a transfer that is asked for now.
    pub(super) fn note_asked(&mut self, size_bytes: u64, tier: StoreTier, now: Instant) {
        self.backlog.add(size_bytes as f64, self.link_rate, now);
        if tier == StoreTier::Disk {
            self.disk_backlog.add(size_bytes as f64, self.disk_rate, now);
        }
    }

    /// Learns the rate of the disk from the whole length of an import, so that readers from
    /// elsewhere show as a slower disk.
    pub(super) fn note_import(&mut self, tier: StoreTier, size_bytes: u64, took_seconds: f64) {
        if tier == StoreTier::Disk {
            let disk_seconds = (took_seconds - size_bytes as f64 / self.link_rate).max(1e-3);
            let rate = size_bytes as f64 / disk_seconds;
            let limit = INITIAL_DISK_SHARE * self.link_bytes_per_second;
            self.disk_rate += AVERAGE_SHARE * (rate.clamp(1.0, limit) - self.disk_rate);
        }
    }
}
