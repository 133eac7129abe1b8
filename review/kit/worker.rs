//! A stand-in for a worker of a plain service: it runs one request at a time on a channel and answers with its stamp.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::{Conn, Message};
use crate::record::Record;
use crate::store::Store;

/// Works on a request and returns the answer: status, further fields and body.
pub type Work = Arc<dyn Fn(&Message) -> (u16, String, Vec<u8>) + Send + Sync>;

#[derive(Debug, Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u128,
}

impl Worker {
    /// Starts a worker. Each request that it begins to run is recorded.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: &str,
        record: &Record,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let (name, record) = (id.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, work) = (name.clone(), record.clone(), Arc::clone(&work));
                thread::spawn(move || serve(Conn::new(stream), &name, &record, &work));
            }
        });
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = unix.map_or(0, |t| t.as_millis());
        Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
        }
    }

    /// Registers the worker in the store, or renews its entry.
    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        let entry = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{}}}"#,
            self.service, self.addr, self.zone, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

fn serve(mut conn: Conn, name: &str, record: &Record, work: &Work) {
    while let Ok(request) = conn.read_message() {
        let id = request
            .field("x-fireflywind-request-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .field("x-fireflywind-expect-instance")
            .is_some_and(|expected| expected != name)
        {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Instance: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            if conn.write(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.add(format!(
            "worker {name} runs {id} {} {}, {} bytes",
            request.word(0),
            request.word(1),
            request.body.len()
        ));
        let (status, fields, body) = work(&request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Server-Stamp: stamp.{name}.{id}\r\n{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        let is_sent = conn.write(&bytes).is_ok();
        record.add(format!(
            "worker {name} has answered {id} with {status}, sent: {is_sent}"
        ));
        if !is_sent {
            return;
        }
    }
}
