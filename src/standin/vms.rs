//! A stand-in for the platform's list of VMs: serves the list of the last PUT request.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;

use super::server::{self, Call, Reply, Running};
use crate::kv::vms::{PATH, VmList};

/// Starts the stand-in with an empty list; `PUT /vms` replaces it.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr) -> io::Result<Running> {
    let list = Rc::new(RefCell::new(VmList::default()));
    server::bind(
        addr,
        Rc::new(move |call| {
            let reply = answer(&call, &list).unwrap_or_else(|reply| reply);
            Box::pin(async move { reply })
        }),
    )
}

fn answer(call: &Call, list: &RefCell<VmList>) -> Result<Reply, Reply> {
    match call.route() {
        ("GET", PATH) => {}
        ("PUT", PATH) => *list.borrow_mut() = call.json()?,
        _ => return Err(Reply::text(StatusCode::NOT_FOUND, "no such call")),
    }
    Ok(Reply::json(StatusCode::OK, &*list.borrow()))
}
