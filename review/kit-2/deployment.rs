//! Processes of a small deployment: routers, beacons and workers, each with a loopback address of its own.

use super::*;
use record::Record;
use store::Store;

/// Time between two liveness reports of a worker.
pub const BEAT_MS: u64 = 1_200;

pub struct Deployment {
    pub store: Store,
    dir: PathBuf,
    net: String,
    beacon_port: u16,
    children: Vec<Child>,
}

pub struct Router {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
}

/// A process that is killed when the value is dropped.
pub struct Guarded(pub Child);

impl Drop for Guarded {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns free ports of an address, all different.
fn free_ports<const N: usize>(ip: &str) -> io::Result<[u16; N]> {
    let held = (0..N)
        .map(|_| TcpListener::bind((ip, 0)))
        .collect::<io::Result<Vec<_>>>()?;
    let mut ports = [0; N];
    for (port, listener) in ports.iter_mut().zip(&held) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// Returns a UDP port that is free at all addresses of a run.
fn free_udp_port(net: &str) -> io::Result<u16> {
    for _ in 0..20 {
        let port = UdpSocket::bind((format!("{net}.2").as_str(), 0))?
            .local_addr()?
            .port();
        if (2..30).all(|n| UdpSocket::bind((format!("{net}.{n}").as_str(), port)).is_ok()) {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Deployment {
    pub fn open() -> io::Result<Self> {
        let net = format!("127.77.{}", 1 + std::process::id() % 250);
        let dir = std::env::temp_dir().join(format!("fireflywind-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let store = Store::start(&format!("{net}.1"))?;
        let beacon_port = free_udp_port(&net)?;
        Ok(Self {
            store,
            dir,
            net,
            beacon_port,
            children: Vec::new(),
        })
    }

    pub fn ip(&self, n: u32) -> String {
        format!("{}.{n}", self.net)
    }

    /// Starts a router at the n-th address; with other ports if one was taken in the meantime.
    pub fn router(&mut self, n: u32) -> io::Result<Router> {
        for _ in 0..5 {
            let router = self.start_router(n)?;
            thread::sleep(ms(300));
            let Some(child) = self.children.last_mut() else {
                break;
            };
            if matches!(child.try_wait(), Ok(None)) {
                return Ok(router);
            }
            self.children.pop();
        }
        Err(io::Error::other("a router does not start"))
    }

    /// Starts a router at the n-th address, with the settings that `deploy/gateway.json` gives on `sites/inci-rota.toml`.
    fn start_router(&mut self, n: u32) -> io::Result<Router> {
        let ip = self.ip(n);
        let [listen, ready, admin] = free_ports(&ip)?;
        let settings = format!(
            r#"{{"name":"edge-{n}","data_centre":"zone-a","listen":"{ip}:{listen}","ready":"{ip}:{ready}","admin":"{ip}:{admin}",
"loads":"{ip}:{beacon}","beacon_port":"{beacon}","store":"{store}","memory_mb":"260","checks_key_age":"true",
"key_revocation_ms":"5000","catch_up_ms":"3000","configuration_bound_ms":"2000","drain_bound_ms":"2000",
"evacuation_bound_ms":"","regions":{{"zone-a":"area"}},"heartbeat_ms":"1200","exposure":"0.15","session_s":"5",
"cold":{{"ratio":"","slack":""}},
"contracts":"base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
"retries":{{"ratio":"0.9","window_s":"10","slack":"52"}},"stop_grace_s":"8"}}"#,
            beacon = self.beacon_port,
            store = self.store.addr,
        );
        let name = format!("edge-{n}");
        self.start_program("target/release/fireflywind-router", &name, &settings)?;
        let addr = |port| SocketAddr::new(ip.parse().expect("a loopback address"), port);
        Ok(Router {
            listen: addr(listen),
            ready: addr(ready),
        })
    }

    /// Starts a beacon beside the worker at `app`.
    pub fn beacon(&mut self, n: u32, app: SocketAddr) -> io::Result<()> {
        let ip = self.ip(n);
        let settings = format!(
            r#"{{"name":"side-{n}","listen":"{ip}:{}","upstream":"{app}"}}"#,
            self.beacon_port
        );
        self.start_program(
            "target/release/fireflywind-beacon",
            &format!("side-{n}"),
            &settings,
        )
    }

    fn start_program(&mut self, program: &str, name: &str, settings: &str) -> io::Result<()> {
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .env("FIREFLYWIND_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children.push(child);
        Ok(())
    }

    /// Returns a free address for a worker.
    pub fn worker_addr(&self, n: u32) -> io::Result<SocketAddr> {
        let ip = self.ip(n);
        let [port] = free_ports(&ip)?;
        Ok(SocketAddr::new(
            ip.parse().expect("a loopback address"),
            port,
        ))
    }

    /// Returns whether all programs still run.
    pub fn all_run(&mut self) -> bool {
        self.children
            .iter_mut()
            .all(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Keeps the logs of the programs.
    pub fn log_dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until all routers are ready.
pub fn wait_until_ready(routers: &[Router]) -> io::Result<()> {
    let started = Instant::now();
    while !routers.iter().all(is_ready) {
        if started.elapsed() > ms(10_000) {
            return Err(io::Error::other("the routers are not ready"));
        }
        thread::sleep(ms(50));
    }
    Ok(())
}

/// Asks a router whether it is ready.
fn is_ready(router: &Router) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&router.ready, ms(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ms(500)));
    if stream
        .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        .is_err()
    {
        return false;
    }
    matches!(http::read_head(&mut BufReader::new(stream)), Ok(Some(head)) if head.word(1) == "200")
}

/// Workers that run until the value is dropped.
#[derive(Default)]
pub struct Workers {
    stop: Arc<AtomicBool>,
    kept: Vec<thread::JoinHandle<()>>,
}

impl Workers {
    /// Keeps a worker running and registered; each line that it prints goes to `on_line` with its name.
    pub fn keep(
        &mut self,
        spec: WorkerSpec,
        store: &Store,
        record: &Record,
        on_line: &Arc<dyn Fn(&str, &str) + Send + Sync>,
    ) {
        let (store, record) = (store.clone(), record.clone());
        let (stop, on_line) = (Arc::clone(&self.stop), Arc::clone(on_line));
        self.kept
            .push(keep_worker(spec, store, record, stop, on_line));
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for kept in self.kept.drain(..) {
            let _ = kept.join();
        }
    }
}

/// What a worker says of itself.
#[derive(Clone)]
pub struct WorkerSpec {
    pub name: String,
    pub service: String,
    pub addr: SocketAddr,
    pub args: Vec<String>,
    /// Time after a crash until the worker is back, under a new id.
    pub back_after: u64,
    /// Set to have the process killed once.
    pub kill: Arc<AtomicBool>,
}

/// Keeps a worker running and registered until `stop` is set.
fn keep_worker(
    spec: WorkerSpec,
    store: Store,
    record: Record,
    stop: Arc<AtomicBool>,
    on_line: Arc<dyn Fn(&str, &str) + Send + Sync>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut boot = 0;
        while !stop.load(Ordering::Relaxed) {
            boot += 1;
            let id = format!("i-{}-{boot}", spec.name);
            let program = std::env::current_exe().expect("this program has a path");
            let child = Command::new(program)
                .arg("worker")
                .arg(format!("addr={}", spec.addr))
                .arg(format!("id={id}"))
                .args(&spec.args)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn();
            let Ok(mut child) = child.map(Guarded) else {
                record.write(&format!("worker {} cannot start", spec.name));
                return;
            };
            let lines = child.0.stdout.take().map(BufReader::new);
            let (name, on_line) = (spec.name.clone(), Arc::clone(&on_line));
            let reading = thread::spawn(move || {
                for line in lines
                    .into_iter()
                    .flat_map(BufRead::lines)
                    .map_while(Result::ok)
                {
                    on_line(&name, &line);
                }
            });
            thread::sleep(ms(50));
            let key = format!("servers/{id}");
            let born = unix_ms();
            record.write(&format!("worker {} starts as {id}", spec.name));
            store.put(&key, &entry(&spec, "ready", 1, born));
            // Its liveness reports change nothing but their number, so the entry stays as it is.
            let mut last_beat = Instant::now();
            while !stop.load(Ordering::Relaxed) && matches!(child.0.try_wait(), Ok(None)) {
                if last_beat.elapsed() >= ms(BEAT_MS) {
                    last_beat = Instant::now();
                }
                if spec.kill.swap(false, Ordering::Relaxed) {
                    record.write(&format!("worker {} ({id}) is killed", spec.name));
                    let _ = child.0.kill();
                }
                thread::sleep(ms(10));
            }
            drop(child);
            let _ = reading.join();
            if stop.load(Ordering::Relaxed) {
                return;
            }
            record.write(&format!("worker {} ({id}) has ended", spec.name));
            let (store, gone_at) = (store.clone(), last_beat + ms(3 * BEAT_MS));
            thread::spawn(move || {
                thread::sleep(gone_at.saturating_duration_since(Instant::now()));
                store.remove(&key);
            });
            let back_at = Instant::now() + ms(spec.back_after);
            while Instant::now() < back_at && !stop.load(Ordering::Relaxed) {
                thread::sleep(ms(10));
            }
        }
    })
}

fn entry(spec: &WorkerSpec, state: &str, seq: u64, born: u64) -> String {
    format!(
        r#"{{"service":"{}","addr":"{}","zone":"zone-a","version":"v1","slots":32,"state":"{state}","coldLeftMs":0,"stage":"mixed","models":[{{"name":"m1","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#,
        spec.service, spec.addr
    )
}
