//! The size that the fleet is planned for, and what a process may take for control.

/// The size that the fleet is planned for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Entry processes.
    pub entries: f64,
    /// Data centres.
    pub data_centres: f64,
    /// Runners.
    pub runners: f64,
    /// Requests a second at the peak.
    pub requests_per_second: f64,
    /// Tokens generated a second at the peak.
    pub tokens_per_second: f64,
    /// Prompts that return after minutes to days.
    pub prompts: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Models in steady use.
    pub models: f64,
    /// Changes of the configuration in a day.
    pub patches_per_day: f64,
    /// Share of requests that are calls under a key that may not be repeated.
    pub keyed_share: f64,
    /// Blocks that a runner's cache holds.
    pub blocks_per_runner: f64,
    /// Blocks of a prompt.
    pub blocks_per_prompt: f64,
    /// Share of a prompt's blocks that were not cached and change a cache.
    pub changed_share: f64,
    /// Time from the first to the last token of an answer, in seconds.
    pub answer_seconds: f64,
}

/// The plan for two years ahead.
pub const PLANNED_SIZE: FleetSize = FleetSize {
    entries: 360.0,
    data_centres: 5.0,
    runners: 870.0,
    requests_per_second: 2_800.0,
    tokens_per_second: 640_000.0,
    prompts: 1_300_000.0,
    accounts: 560.0,
    models: 5.0,
    patches_per_day: 2_200.0,
    keyed_share: 0.1,
    blocks_per_runner: 40_000.0,
    blocks_per_prompt: 32.0,
    changed_share: 0.2,
    answer_seconds: 15.0,
};

impl FleetSize {
    /// Entry processes in a data centre.
    pub fn entries_per_centre(&self) -> f64 {
        self.entries / self.data_centres
    }

    /// Runners in a data centre.
    pub fn runners_per_centre(&self) -> f64 {
        self.runners / self.data_centres
    }

    /// Requests a second at one entry process.
    pub fn requests_per_entry(&self) -> f64 {
        self.requests_per_second / self.entries
    }

    /// Answers under way at one entry process.
    pub fn streams_per_entry(&self) -> f64 {
        self.requests_per_entry() * self.answer_seconds
    }
}

/// What one entry process may take for control, and what the platform serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Share of a core.
    pub core_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Bytes a second over the network.
    pub network_bytes_per_second: f64,
    /// Writes a second that the platform serves all processes together.
    pub platform_writes_per_second: f64,
    /// Reads a second that the platform serves, a waiting watch counted as one.
    pub platform_reads_per_second: f64,
}

/// The budget that the plan names. "Several hundred" writes a second are taken as 300.
pub const BUDGET: Budget = Budget {
    core_share: 0.034,
    memory_bytes: 64e6,
    network_bytes_per_second: 24e3,
    platform_writes_per_second: 300.0,
    platform_reads_per_second: 2_000.0,
};
