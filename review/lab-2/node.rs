//! Starts the project's program as the platform does, and ends it.

use crate::wire::{Answer, send_once, wait_for};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

/// A process of a `frontend` machine.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// What the settings of a machine say.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub store: SocketAddr,
}

impl Node {
    pub fn start(program: &str, folder: &std::path::Path, number: u8, machine: &Machine) -> Node {
        let ip = free_ip(number);
        let port = || TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port();
        let (front, ready, control) = (port(), port(), port());
        let internal = loop {
            let port = UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap().port();
            if port < 65_500 {
                break port;
            }
        };
        let Machine { name, zone, store } = machine;
        let text = format!(
            "nodeName={name}\nrole=entry\nmachineClass=frontend\nserves=frontend\nipAddress={ip}\n\
             zone={zone}\nregion=mnl\nzones.mnl-a=mnl\nzones.mnl-b=mnl\nzones.mnl-c=mnl\n\
             listenAddresses.frontend={ip}:{front}\nlistenAddresses.ready={ip}:{ready}\n\
             listenAddresses.controlPlane={ip}:{control}\ninternalPortRange={internal},{}\nseedNodes=\n\
             bootstrap=true\ncountsTowardTolerance=false\nlimits.cpuShare=0.25\nlimits.cpuCores=1\n\
             limits.memoryMb=260\nlimits.fileDescriptors=4100\nlimits.linkBandwidthMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentryPoint=virtual_ip\nheartbeatIntervalMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
             faultTolerance.machineLosses=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.contactWindowMs=3000\n\
             bounds.acknowledgeMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.gracePeriodS=8\n\
             bounds.lossSlackMs=200\nbounds.configurationApplyMs=2000\nbounds.downgradeSlackMs=250\n\
             bounds.outerBoundMs=5000\nbounds.revokeStrict=false\nbounds.revocationMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetExtraRetries=54\n\
             bounds.recoveryS=12\nbounds.transitMs=120\nbounds.reuseWindowS=20\n\
             bounds.requireFencing=false\nbounds.leaseDurationMs=3000\nbounds.thawSlackMs=300\n\
             bounds.versionMs=12000\nbounds.versionFleetMs=17000\nplatform.address={store}\n\
             platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
             platform.historyRetentionS=20\nplatform.valueBytes=1048576\nplatform.minimumLifetimeMs=1000\n",
            internal + 15
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings file");
        let log = folder.join(format!("{name}.log"));
        let _ = fs::remove_file(&log);
        let program = PathBuf::from(program);
        let child = spawn(&program, &settings, &log);
        Node {
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            program,
            settings,
            log,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        matches!(send_once(self.ready, request), Answer::Got(answer) if answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        wait_for(limit, || self.is_ready())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, and starts it again with the same settings.
    pub fn restart(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Returns how often a text stands in what the process wrote.
    pub fn logged(&self, text: &str) -> usize {
        fs::read_to_string(&self.log).unwrap_or_default().matches(text).count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

fn spawn(program: &PathBuf, settings: &PathBuf, log: &PathBuf) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    let errors = output.try_clone().expect("a log file");
    // As the deploy file has it: `target/release/skylarkpick node`.
    Command::new(program)
        .arg("node")
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("SKYLARKPICK_CONFIG", settings)
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file")
}

/// Returns a loopback address of its own, at which the port of the metrics is free.
fn free_ip(number: u8) -> IpAddr {
    let pid = std::process::id();
    for step in 0..200_u32 {
        let mix = pid.wrapping_add(step * 977);
        let (second, third) = ((mix >> 8) as u8 % 200 + 10, mix as u8 % 250 + 1);
        let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, number + 1));
        if TcpListener::bind((ip, 9_464)).is_ok() {
            return ip;
        }
    }
    panic!("no loopback address has a free port 9464");
}
