//! Entries as separate processes, and what a case needs around them.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Call;

/// Program of the deploy file, from the root of the repository.
const ENTRY: &str = "target/release/hawthorn-entry";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        if let Ok(mut file) = fs::File::create(path) {
            let _ = writeln!(file, "{}", lines.join("\n"));
        }
    }
}

/// An entry's process, which is killed on drop.
pub struct Entry {
    child: Option<Child>,
    dir: PathBuf,
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
}

/// Returns ports that are free on an address, each with the port after it.
fn free_ports(ip: &str, count: usize) -> Vec<u16> {
    // Kept until all are found, so that none is found twice.
    let mut listeners = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < count {
        let first = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        let next = port.checked_add(1).map(|next| TcpListener::bind(format!("{ip}:{next}")));
        if let Some(Ok(next)) = next {
            ports.push(port);
            listeners.push(next);
        }
        listeners.push(first);
    }
    ports
}

impl Entry {
    /// Starts an entry with the settings of a small deployment.
    pub fn start(number: u8, zone: &str, store: SocketAddr) -> Self {
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 64 + id / 250 % 128, id % 250, number + 1);
        let name = format!("edge-{zone}-{number}");
        let dir = std::env::temp_dir().join(format!("review-{id}-{number}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let ports = free_ports(&ip, 5);
        let [front, readiness, directory, control, internal] = ports[..] else {
            unreachable!("five ports");
        };
        let settings = format!(
            "NodeName={name}\nRole=entry\nMachineClass=edge\nServes=edge,registry,control_plane\n\
             Ip={ip}\nZone={zone}\nRegion=hu-west\nZones.hu-west-a=hu-west\n\
             Zones.hu-west-b=hu-west\nZones.hu-west-c=hu-west\nZones.hu-west-d=hu-west\n\
             Listen.Front={ip}:{front}\nListen.Readiness={ip}:{readiness}\n\
             Listen.Control={ip}:{control}\nListen.Directory={ip}:{directory}\n\
             InternalPorts={internal},{last}\nBootstrap=true\nLimits.MemoryMb=260\n\
             Limits.MaxFds=4100\nDiscovery=platform\nEntry=registry\nHeartbeatMs=1200\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2000\nBounds.DowngradeMs=250\nBounds.OuterBoundMs=5000\n\
             Bounds.RetryRatio=0.2\nBounds.RetryWindowS=10\nBounds.RetrySlack=52\n\
             Bounds.QuotaWindowS=8\nBounds.RequireFence=true\nBounds.LeaseMs=3000\n\
             Bounds.WindowS=5\nBounds.UsageLateS=10\nBounds.ExposureShare=0.1\n\
             Bounds.ExposureSlack=50\nBounds.RollbackMs=5000\nPlatform.Address={store}\n\
             Platform.form=log\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n\
             Cloud.Address={store}\nCloud.Duties=usage_report\n",
            last = internal + 1,
        );
        fs::write(dir.join("node.conf"), settings).expect("the settings file");
        let log = fs::File::create(dir.join("log")).expect("the log");
        let keep = |name| std::env::var(name).unwrap_or_default();
        let child = Command::new(ENTRY)
            .env_clear()
            .env("PATH", keep("PATH"))
            .env("HOME", keep("HOME"))
            .env("HAWTHORNRACK_CONFIG", dir.join("node.conf"))
            .stdout(Stdio::from(log))
            .spawn()
            .expect("hawthorn-entry, built by the command of the deploy file");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Self {
            child: Some(child),
            dir,
            name,
            front: address(front),
            readiness: address(readiness),
        }
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |c| c.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.pid(), signal) };
    }

    /// Waits for a 200 of the readiness check, for 15 s at most.
    pub fn wait_until_ready(&self) -> bool {
        let call = Call {
            method: "GET",
            path: "/readyz".to_owned(),
            id: "readiness".to_owned(),
            deadline_ms: 1000,
            extra: String::new(),
            body: Vec::new(),
        };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if call.send(self.readiness).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// Returns the lines of the log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Kills the process, as the platform does, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the JSON of a server's entry in the store.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32, n: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
         \"Sequence\":{n},\"born\":1780000000000}}"
    )
}
