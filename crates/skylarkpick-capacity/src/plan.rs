//! The planned fleet size, and the budget of an entry process for control work.

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Number of entry processes.
    pub entries: f64,
    /// Number of data centres.
    pub data_centres: f64,
    /// Number of runners.
    pub runners: f64,
    /// Peak request rate of the fleet.
    pub requests_per_second: f64,
    /// Peak rate of generated tokens in the fleet.
    pub tokens_per_second: f64,
    /// Number of prompts that return after minutes to days.
    pub prompts: f64,
    /// Number of client accounts.
    pub accounts: f64,
    /// Number of models in steady use.
    pub models: f64,
    /// Configuration changes per day.
    pub patches_per_day: f64,
    /// Share of requests that carry an idempotency key and may not run twice.
    pub keyed_share: f64,
    /// Size of the cache of a runner, in blocks.
    pub blocks_per_runner: f64,
    /// Length of a prompt, in blocks.
    pub blocks_per_prompt: f64,
    /// Share of the blocks of a prompt that are not cached yet and are added to a cache.
    pub changed_share: f64,
    /// Time from the first to the last token of a response.
    pub response_seconds: f64,
}

/// The fleet size planned for two years from now.
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
    response_seconds: 15.0,
};

impl FleetSize {
    /// Returns the number of entry processes in a data centre.
    pub fn entries_per_data_centre(&self) -> f64 {
        self.entries / self.data_centres
    }

    /// Returns the number of runners in a data centre.
    pub fn runners_per_data_centre(&self) -> f64 {
        self.runners / self.data_centres
    }

    /// Returns the request rate of one entry process.
    pub fn requests_per_entry(&self) -> f64 {
        self.requests_per_second / self.entries
    }

    /// Returns the number of open response streams of one entry process.
    pub fn streams_per_entry(&self) -> f64 {
        self.requests_per_entry() * self.response_seconds
    }
}

/// Budget of one entry process for control work, and the capacity of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Processor time, in cores.
    pub core_share: f64,
    /// Memory.
    pub memory_bytes: f64,
    /// Network traffic.
    pub network_bytes_per_second: f64,
    /// Writes that the platform serves for all processes together.
    pub platform_writes_per_second: f64,
    /// Reads that the platform serves for all processes together. An open watch counts as one read.
    pub platform_reads_per_second: f64,
}

/// The budget of the plan. The plan allows "several hundred" platform writes a second, which is read
/// as 300.
pub const BUDGET: Budget = Budget {
    core_share: 0.034,
    memory_bytes: 64e6,
    network_bytes_per_second: 24e3,
    platform_writes_per_second: 300.0,
    platform_reads_per_second: 2_000.0,
};
