//! A worker process. It prints a line for each request that it takes, runs or ends.
//!
//! Engines answer a stream: the head at once, then the prompt is read for `prefill` milliseconds, and the request begins to run
//! with its first event. A request whose body is `poison` crashes a worker that was started with `crash` when it begins to run.

use super::*;

struct Options {
    id: String,
    born: u64,
    is_engine: bool,
    prefill: u64,
    /// Whether the head of a stream is sent before the prompt is read.
    early_head: bool,
    crashes: bool,
    events: u64,
    event_gap: u64,
    /// Whether answers have no length and end with their connection.
    is_unframed: bool,
}

pub fn main(args: &[String]) -> i32 {
    let option = |name: &str| {
        args.iter()
            .find_map(|a| a.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
    };
    let number = |name: &str, default| option(name).and_then(|v| v.parse().ok()).unwrap_or(default);
    let addr = option("addr").unwrap_or_default();
    let options = Arc::new(Options {
        id: option("id").unwrap_or_default(),
        born: unix_ms(),
        is_engine: number("engine", 0) == 1,
        prefill: number("prefill", 20),
        early_head: number("early-head", 1) == 1,
        crashes: number("crash", 0) == 1,
        events: number("events", 5),
        event_gap: number("gap", 80),
        is_unframed: number("unframed", 0) == 1,
    });
    let Ok(listener) = TcpListener::bind(&addr) else {
        println!("cannot bind {addr}");
        return 1;
    };
    // Ends with the program that has started it.
    thread::spawn(|| {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    println!("listens");
    for stream in listener.incoming().flatten() {
        let options = Arc::clone(&options);
        thread::spawn(move || {
            let _ = serve(stream, &options);
        });
    }
    0
}

static STAMPS: AtomicU64 = AtomicU64::new(0);
static RUNNING: AtomicU64 = AtomicU64::new(0);

fn say(line: &str) {
    let out = io::stdout();
    let mut out = out.lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn serve(stream: TcpStream, options: &Options) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut req) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &mut req)?;
        if req.word(1) == "/api/report" {
            let running = RUNNING.load(Ordering::Relaxed);
            let body = format!(
                "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m1\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\
                 \"waiting\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":600000,\"handles\":0,\"state\":\"ready\",\"next\":0,\
                 \"runs\":[],\"pinned\":0,\"held\":0,\"born\":{}}}",
                options.born
            );
            http::answer(
                &mut out,
                200,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
            if req.closes() {
                return Ok(());
            }
            continue;
        }
        let id = req
            .field("X-Fireflywind-Request-Id")
            .unwrap_or_default()
            .to_owned();
        if req
            .field("X-Fireflywind-Expect-Instance")
            .is_some_and(|wanted| wanted != options.id)
        {
            let fields = format!(
                "X-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Instance: {}\r\n",
                options.id
            );
            http::answer(&mut out, 421, &fields, b"")?;
            continue;
        }
        let stamp = STAMPS.fetch_add(1, Ordering::Relaxed);
        let fields = format!(
            "X-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Server-Stamp: {}.{stamp}\r\n",
            options.id
        );
        let is_poison = req.body == b"poison";
        say(&format!(
            "takes {id} {}",
            if is_poison { "poison" } else { "plain" }
        ));
        RUNNING.fetch_add(1, Ordering::Relaxed);
        let ended = if options.is_engine {
            run_stream(&mut out, &fields, &id, is_poison, options)
        } else {
            run_plain(&mut out, &fields, &id, is_poison, options)
        };
        RUNNING.fetch_sub(1, Ordering::Relaxed);
        ended?;
    }
    Ok(())
}

fn begin(id: &str, is_poison: bool, options: &Options) {
    say(&format!("runs {id}"));
    if is_poison && options.crashes {
        say(&format!("crashes {id}"));
        std::process::abort();
    }
}

/// Returns the body of an answer without a length.
pub fn long_body(id: &str) -> Vec<u8> {
    (0..20)
        .map(|n| format!("line {n:02} of the answer to {id}\n"))
        .collect::<String>()
        .into_bytes()
}

fn run_plain(
    out: &mut TcpStream,
    fields: &str,
    id: &str,
    is_poison: bool,
    options: &Options,
) -> io::Result<()> {
    begin(id, is_poison, options);
    if options.is_unframed {
        let body = long_body(id);
        let (first, second) = body.split_at(body.len() / 2);
        out.write_all(format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n").as_bytes())?;
        out.write_all(first)?;
        thread::sleep(ms(options.prefill));
        out.write_all(second)?;
        say(&format!("ends {id}"));
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    thread::sleep(ms(options.prefill));
    say(&format!("ends {id}"));
    http::answer(out, 200, fields, b"done")
}

fn run_stream(
    out: &mut TcpStream,
    fields: &str,
    id: &str,
    is_poison: bool,
    options: &Options,
) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if options.early_head {
        out.write_all(head.as_bytes())?;
    }
    thread::sleep(ms(options.prefill));
    begin(id, is_poison, options);
    if !options.early_head {
        out.write_all(head.as_bytes())?;
    }
    for n in 1..=options.events {
        let event = format!("id: {n}\ndata: {id} {n}\n\n");
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(ms(options.event_gap));
    }
    say(&format!("ends {id}"));
    out.write_all(b"0\r\n\r\n")
}
