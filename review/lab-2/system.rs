//! A small deployment: processes of the program, and the stand-ins that they use.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, StepWork, Works};
use crate::http::{self, Request};
use crate::json::Json;
use crate::machines::Machines;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["opuzen", "metkovic", "ploce"];

/// The command of the deploy file.
const COMMAND: &str = "target/release/amaranthwick-platform";

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct System {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Vec<Node>,
    pub works: Works,
    pub machines: Arc<Machines>,
    folder: PathBuf,
}

/// The services of the deployment, each with its number of executors and their room.
pub type Services<'a> = &'a [(&'a str, usize, (u64, u64))];

fn free_ip() -> Ipv4Addr {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let id = std::process::id().to_be_bytes();
    loop {
        let call = CALLS.fetch_add(1, Ordering::Relaxed);
        assert!(call < 200, "no free loopback address");
        let ip = Ipv4Addr::new(127, id[2].max(1), id[3], 10 + call as u8);
        let free = |port: u16| TcpListener::bind((ip, port)).is_ok();
        if [8_340, 8_343, 8_345, 7_000, 7_001].into_iter().all(free) {
            return ip;
        }
    }
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

impl System {
    pub fn start(
        config: &str,
        services: Services<'_>,
        nodes: usize,
        record: Arc<Record>,
        folder: &Path,
    ) -> Self {
        let (store, works) = (Arc::new(Store::default()), Works::default());
        store.put("keyed.op", "config", config);
        let mut executors = Vec::new();
        for (service, count, room) in services {
            for i in 0..*count {
                let number = executors.len();
                let executor = Executor::start(
                    number,
                    service,
                    ZONES[i % 3],
                    *room,
                    &works,
                    &store,
                    &record,
                );
                executors.push(executor);
            }
        }
        let (store_listener, cloud_listener) = (listen(), listen());
        let store_address = store_listener.local_addr().expect("an address");
        let cloud_address = cloud_listener.local_addr().expect("an address");
        store.serve(store_listener);
        let machines = Machines::new(executors.clone(), Arc::clone(&record));
        let handled = Arc::clone(&machines);
        let handler = move |request: &Request| handled.handle(request);
        http::serve(
            cloud_listener,
            Arc::new(AtomicU64::new(0)),
            Arc::new(handler),
        );
        let mut system = Self {
            machines,
            store,
            record,
            executors,
            nodes: Vec::new(),
            works,
            folder: folder.to_owned(),
        };
        for i in 0..nodes {
            let node = system.settings(i, store_address, cloud_address);
            system.nodes.push(node);
        }
        for i in 0..nodes {
            system.spawn(i);
        }
        system
    }

    fn settings(&self, number: usize, store: SocketAddr, cloud: SocketAddr) -> Node {
        let (ip, zone) = (free_ip(), ZONES[number % 3]);
        let name = format!("edge-{zone}-{}", number / 3 + 1);
        let text = format!(
            "node-name={name}\nrole=edge\nmachine-class=edge\nserves=edge\nip={ip}\nzone={zone}\nregion=dalmacija\n\
             zones.opuzen=dalmacija\nzones.metkovic=dalmacija\nzones.ploce=dalmacija\n\
             listen.front={ip}:8340\nlisten.ready={ip}:8343\nport-range=7000,7015\nseeds=\nbootstrap=true\n\
             loss-counts=false\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing\n\
             fault-tolerance.machines=2\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.drain-ms=2000\nbounds.grace-s=6\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.downgrade-ms=250\nbounds.outer-ms=5000\n\
             bounds.hold-max-ms=6000\nbounds.stop-ms=400\nbounds.gang-timeout-ms=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.remote-factor=1.5\nbounds.checkpoint-s=1\nbounds.restore-ms=250\nbounds.notice-ms=4500\n\
             bounds.migrate-s=1.5\nbounds.maint-s=2\nbounds.fencing-enabled=true\nbounds.lease-ms=3000\n\
             bounds.thaw-ms=300\nbounds.pace-ms=100\nbounds.impact-ms=4000\norders=rpc\n\
             platform.addr={store}\nplatform.form=log\nplatform.writes-per-s=600\nplatform.reads-per-s=2000\n\
             platform.parts=24\nplatform.append-ms=1.0\nplatform.part-tput-s=20.0\nplatform.read-tput-s=80.0\n\
             platform.record-bytes=262144\nplatform.call-bytes=2097152\nplatform.keep_s=300\nplatform.part-mb=200\n\
             platform.ttl-min-ms=1000\ncloud-api.addr={cloud}\ncloud-api.rate-s=64.0\ncloud-api.duties=\n\
             cloud-api.duty-rate-s=64.0\n"
        );
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("a settings file");
        Node {
            log: self.folder.join(format!("{name}.log")),
            front: SocketAddr::from((ip, 8_340)),
            metrics: SocketAddr::from((ip, 7_000)),
            name,
            settings,
            child: None,
        }
    }

    /// Starts the process of a node.
    pub fn spawn(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("a log file");
        let mut command = Command::new(COMMAND);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).map(|value| (name, value)));
        }
        let child = command
            .env("AMARANTHWICK_BOOT", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| crate::give_up(&format!("{COMMAND}: {error}")));
        let pids = self.folder.join("pids");
        let mut pids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(pids)
            .expect("a file");
        let _ = std::io::Write::write_all(&mut pids, format!("{}\n", child.id()).as_bytes());
        self.record
            .note(&format!("{}: started, process {}", node.name, child.id()));
        node.child = Some(child);
    }

    /// Kills the process of a node and waits for its end.
    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory of the process of a node, in MB.
    pub fn memory_mb(&self, i: usize) -> Option<u64> {
        let pid = self.nodes[i].child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1_024)
    }

    /// Whether the process of a node runs.
    pub fn is_up(&self, i: usize) -> bool {
        self.nodes[i].child.is_some()
    }

    /// Whether the process of a node has ended by itself.
    pub fn has_ended(&mut self, i: usize) -> bool {
        let child = self.nodes[i].child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn stop(&mut self) {
        for i in 0..self.nodes.len() {
            self.kill(i);
        }
    }

    /// Index of the node that leads, as its state dump says.
    pub fn leader(&self) -> Option<usize> {
        let limit = Duration::from_millis(500);
        self.nodes.iter().position(|node| {
            let answer = http::call(
                node.metrics,
                "GET",
                "/state",
                &[("host", "state")],
                "",
                limit,
            );
            answer.is_some_and(|answer| {
                String::from_utf8_lossy(&answer.body).contains("busy_targets=")
            })
        })
    }

    /// Waits until a node leads and all nodes answer callers.
    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let ready = self.nodes.iter().all(|node| {
                let path = "/none/0000000000000000";
                let answer = http::call(
                    node.front,
                    "GET",
                    path,
                    &[("host", "x")],
                    "",
                    Duration::from_millis(500),
                );
                answer.is_some_and(|answer| answer.status == 404)
            });
            if ready && self.leader().is_some() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        crate::give_up("the deployment isn't ready after 20 s");
    }

    /// Sends a request as a requester, once.
    pub fn request(
        &self,
        node: usize,
        method: &str,
        queue: &Queue,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let path = format!("{}{id}", queue.prefix);
        let headers = [
            ("host", queue.host),
            ("api-key", queue.key),
            ("deadline-ms", "3000"),
        ];
        let limit = Duration::from_secs(3);
        let answer = http::call(self.nodes[node].front, method, &path, &headers, body, limit);
        let answer = answer.map(|answer| {
            (
                answer.status,
                String::from_utf8_lossy(&answer.body).into_owned(),
            )
        });
        let shown = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", body.chars().take(120).collect::<String>())
            });
        let text = format!("{} {method} {path} -> {shown}", self.nodes[node].name);
        self.record.note(&text);
        answer
    }

    /// Hands a job in, as a requester does: at other nodes after a 502 or 504 or no answer, and
    /// again after a refusal. Returns whether it was accepted.
    pub fn submit(&self, queue: &Queue, id: &str, body: &str, works: Vec<StepWork>) -> bool {
        self.works.lock().unwrap().insert(id.to_owned(), works);
        for attempt in 0..5 {
            let node = (id.bytes().map(usize::from).sum::<usize>() + attempt) % self.nodes.len();
            if let Some((status, _)) = self.request(node, "POST", queue, id, body)
                && (200..300).contains(&status)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(600));
        }
        false
    }

    /// State of a job, as some node shows it; `None` without a usable answer.
    pub fn state(&self, queue: &Queue, id: &str) -> Option<String> {
        for node in 0..self.nodes.len() {
            if let Some((200, body)) = self.request(node, "GET", queue, id, "") {
                return Some(Json::parse(&body)?.get("state").text().to_owned());
            }
        }
        None
    }

    /// The executor that runs a task now, with the run's number and age.
    pub fn runner(&self, task: &str) -> Option<(usize, u64, Duration)> {
        let mut executors = self.executors.iter().enumerate();
        executors.find_map(|(i, executor)| {
            let running = executor.running();
            running
                .into_iter()
                .find(|(other, ..)| other == task)
                .map(|(_, run, age)| (i, run, age))
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A queue, as requesters reach it.
#[derive(Clone, Copy)]
pub struct Queue {
    pub host: &'static str,
    pub prefix: &'static str,
    pub key: &'static str,
}

/// A configuration with these routes (name, host, prefix, service, priority, attempts) and tenants (name, key, cap of cpu).
pub fn config(
    routes: &[(&str, &str, &str, &str, u32, u32)],
    services: &[&str],
    tenants: &[(&str, &str, u64)],
) -> String {
    let routes = routes.iter().map(|(name, host, prefix, service, priority, attempts)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"kind\":\"mutating\",\"timeout-ms\":3000,\
             \"slo-ms\":600,\"priority\":{priority},\"service\":\"{service}\",\"attempts\":{attempts},\
             \"slack-factor\":1.6,\"public\":false}}"
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\
             \"tls-enabled\":false,\"admission-check\":true,\"standby\":false}}"
        )
    });
    let tenants = tenants.iter().map(|(name, key, cpu)| {
        let cap = format!("{{\"cpu\":{cpu},\"mem-mb\":0,\"gpu\":0}}");
        format!("{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"],\"priority\":1,\"weight\":10,\"cap\":{cap}}}")
    });
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(","),
        tenants.collect::<Vec<_>>().join(",")
    )
}
