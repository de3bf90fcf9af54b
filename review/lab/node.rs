//! Starts entry processes with the command of the deploy file, and ends them.

use crate::http::is_ok;
use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/skylarkpick";
const FRONT_PORT: u16 = 8_749;
const READY_PORT: u16 = 8_741;
/// Zones of the processes, as in the site file.
pub const ZONES: [&str; 7] = ["mnl-a", "mnl-a", "mnl-b", "mnl-b", "mnl-b", "mnl-c", "mnl-c"];
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Entry processes, each on a loopback address of its own.
pub struct Nodes {
    pub fronts: Vec<SocketAddr>,
    platforms: Vec<SocketAddr>,
    processes: Arc<Mutex<Vec<Child>>>,
    folder: PathBuf,
}

impl Nodes {
    /// Starts a process for each platform address, and waits until all are ready.
    pub fn start(platforms: &[SocketAddr]) -> Result<Nodes, String> {
        let folder = std::env::temp_dir().join(format!("review-lab-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut nodes = Nodes {
            fronts: Vec::new(),
            platforms: platforms.to_vec(),
            processes: Arc::default(),
            folder,
        };
        let network = free_network(platforms.len())?;
        nodes.fronts =
            (0..platforms.len()).map(|index| SocketAddr::new(network(index), FRONT_PORT)).collect();
        nodes.start_all()?;
        nodes.wait_until_ready()?;
        Ok(nodes)
    }

    /// Starts all processes, without waiting until they are ready.
    pub fn start_all(&self) -> Result<(), String> {
        for (index, platform) in self.platforms.iter().enumerate() {
            self.start_one(index, self.fronts[index].ip(), *platform)?;
        }
        Ok(())
    }

    /// Kills all processes at the same moment.
    pub fn kill_all(&self) {
        let mut processes = self.processes.lock().expect("the lock of the processes");
        for process in processes.iter_mut() {
            let _ = process.kill();
        }
        for mut process in processes.drain(..) {
            let _ = process.wait();
        }
    }

    /// Waits until all processes are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let ready = self.fronts.iter().map(|it| SocketAddr::new(it.ip(), READY_PORT));
        let mut ready: BTreeMap<usize, SocketAddr> = ready.enumerate().collect();
        let until = Instant::now() + START_TIMEOUT;
        while !ready.is_empty() {
            ready.retain(|_, address| !is_ok(*address, "/readiness"));
            if Instant::now() > until {
                return Err(format!("processes are not ready: {:?}", ready.keys()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the name of a process.
    pub fn name(&self, index: usize) -> String {
        format!("frontend-{}-{index}", ZONES[index])
    }

    fn start_one(&self, index: usize, ip: IpAddr, platform: SocketAddr) -> Result<(), String> {
        let name = self.name(index);
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings(&name, ZONES[index], ip, platform))
            .map_err(|error| error.to_string())?;
        let path_of_log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path_of_log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new(PROGRAM)
            .arg("node")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("SKYLARKPICK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM} doesn't start: {error}"))?;
        self.processes.lock().expect("the lock of the processes").push(process);
        Ok(())
    }

    /// Ends all processes after a time, and the case with 2.
    pub fn end_after(&self, time: Duration) {
        let processes = self.processes.clone();
        thread::spawn(move || {
            thread::sleep(time);
            eprintln!("the case took too long");
            end(&processes);
            std::process::exit(2);
        });
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        end(&self.processes);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn end(processes: &Mutex<Vec<Child>>) {
    for process in processes.lock().expect("the lock of the processes").iter_mut() {
        let _ = (process.kill(), process.wait());
    }
}

/// Returns loopback addresses on which the ports of the processes are free.
fn free_network(count: usize) -> Result<impl Fn(usize) -> IpAddr, String> {
    let start = std::process::id() as usize;
    for attempt in start..start + 200 {
        let (second, third) = ((64 + attempt % 128) as u8, (attempt / 128 % 250) as u8);
        let address = move |index| IpAddr::V4(Ipv4Addr::new(127, second, third, 10 + index as u8));
        let is_free = |port| move |index| TcpListener::bind((address(index), port)).is_ok();
        if (0..count).all(is_free(FRONT_PORT)) && (0..count).all(is_free(READY_PORT)) {
            return Ok(address);
        }
    }
    Err("no free addresses".to_string())
}

/// Returns settings with the bounds of the site file.
fn settings(name: &str, zone: &str, ip: IpAddr, platform: SocketAddr) -> String {
    format!(
        "nodeName={name}\nrole=entry\nmachineClass=frontend\nserves=frontend\nipAddress={ip}\n\
         zone={zone}\nregion=mnl\nzones.mnl-a=mnl\nzones.mnl-b=mnl\nzones.mnl-c=mnl\n\
         listenAddresses.frontend={ip}:{FRONT_PORT}\nlistenAddresses.ready={ip}:{READY_PORT}\n\
         internalPortRange=7580,7595\nseedNodes=\nbootstrap=true\ncountsTowardTolerance=false\n\
         limits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\n\
         limits.fileDescriptors=4100\nlimits.linkBandwidthMbps=1000.0\nlimits.diskMb=0\n\
         discovery=platform\nentryPoint=virtual_ip\nheartbeatIntervalMs=1200\n\
         faultTolerance.machineLosses=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
         bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.contactWindowMs=3000\n\
         bounds.acknowledgeMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
         bounds.gracePeriodS=8\nbounds.lossSlackMs=200\nbounds.configurationApplyMs=2000\n\
         bounds.downgradeSlackMs=250\nbounds.outerBoundMs=5000\nbounds.revokeStrict=false\n\
         bounds.revocationMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
         bounds.budgetExtraRetries=54\nbounds.recoveryS=12\nbounds.transitMs=120\n\
         bounds.reuseWindowS=20\nbounds.requireFencing=false\nbounds.leaseDurationMs=3000\n\
         bounds.thawSlackMs=300\nbounds.versionMs=12000\nbounds.versionFleetMs=17000\n\
         platform.address={platform}\nplatform.form=objects\nplatform.writesPerS=400\n\
         platform.readsPerS=2000\nplatform.historyRetentionS=20\nplatform.valueBytes=1048576\n\
         platform.minimumLifetimeMs=1000\n"
    )
}
