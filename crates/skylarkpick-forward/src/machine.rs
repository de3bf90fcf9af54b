//! Memory and descriptors that the process may take.

use rustix::process::{Resource, getrlimit};
use skylarkpick_interface::NodeSettings;
use sysinfo::{Pid, ProcessRefreshKind, ProcessesToUpdate, System};

/// Most memory that a process takes for its own whose settings and group name none. The machine's memory
/// is shared with other processes then. VMs of the platform have half of it at most.
const SHARED_MACHINE_BYTES: u64 = 1_000_000_000;
/// Memory of a process whose system doesn't tell any: that of a VM of the largest kind.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;

/// Limits of a process on its machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct MachineLimits {
    pub(crate) memory_bytes: u64,
    /// Open descriptors; `None` without a limit.
    pub(crate) descriptors: Option<u64>,
}

/// Where a limit comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LimitSource {
    /// The settings file.
    Settings,
    /// The control group of the process.
    Group,
    /// The memory of the machine.
    Machine,
    /// The limit of the process's address space.
    AddressSpace,
    /// None of these.
    Default,
}

/// Memory that the system reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SystemMemory {
    /// Of the process's control group, if that is less than the machine's.
    pub(crate) group_bytes: Option<u64>,
    pub(crate) machine_bytes: Option<u64>,
    /// What is left of the process's address space, if that is limited.
    pub(crate) address_space_bytes: Option<u64>,
}

impl MachineLimits {
    /// Reads what the settings don't name from the system.
    pub(crate) fn read(settings: &NodeSettings) -> MachineLimits {
        let system = match settings.memory_limit_bytes {
            Some(_) => SystemMemory::default(),
            None => SystemMemory::read(),
        };
        let (memory_bytes, memory_source) = choose_memory(settings.memory_limit_bytes, system);
        let limits = MachineLimits {
            memory_bytes,
            descriptors: settings.descriptor_limit.or_else(|| getrlimit(Resource::Nofile).current),
        };
        spdlog::info!("limits of the process", kv: {
            memory_mb = memory_bytes / 1_000_000,
            memory_source:? = memory_source,
            descriptors = limits.descriptors.unwrap_or(u64::MAX),
        });
        limits
    }
}

impl SystemMemory {
    fn read() -> SystemMemory {
        let mut system = match System::new() {
            Ok(system) => system,
            Err(error) => {
                spdlog::warn!("memory of the machine not known", kv: { error: });
                return SystemMemory::default();
            }
        };
        system.refresh_memory();
        let machine_bytes = Some(system.total_memory()).filter(|bytes| *bytes > 0);
        let pid = Pid::from_u32(std::process::id());
        let sizes = ProcessRefreshKind::nothing().with_memory();
        system.refresh_processes_specifics(ProcessesToUpdate::Some(&[pid]), false, sizes);
        let process = system.process(pid);
        let group = process.and_then(|process| process.cgroup_limits());
        let group_bytes = group.map(|limits| limits.total_memory);
        let is_limit = |bytes: &u64| *bytes > 0 && machine_bytes.is_none_or(|most| *bytes < most);
        let used_bytes = process.map_or(0, |process| process.virtual_memory());
        let address_space_bytes = getrlimit(Resource::As).current;
        SystemMemory {
            group_bytes: group_bytes.filter(is_limit),
            machine_bytes,
            address_space_bytes: address_space_bytes.map(|bytes| bytes.saturating_sub(used_bytes)),
        }
    }
}

/// Returns the memory of a process whose settings name it or not.
pub(crate) fn choose_memory(named_bytes: Option<u64>, system: SystemMemory) -> (u64, LimitSource) {
    if let Some(bytes) = named_bytes {
        return (bytes, LimitSource::Settings);
    }
    let (bytes, source) = match (system.group_bytes, system.machine_bytes) {
        (Some(bytes), _) => (bytes, LimitSource::Group),
        (None, Some(bytes)) => (bytes.min(SHARED_MACHINE_BYTES), LimitSource::Machine),
        (None, None) => (DEFAULT_MEMORY_BYTES, LimitSource::Default),
    };
    match system.address_space_bytes {
        Some(left_bytes) if left_bytes < bytes => (left_bytes, LimitSource::AddressSpace),
        _ => (bytes, source),
    }
}
