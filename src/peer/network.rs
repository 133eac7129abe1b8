//! The protocol's connection, for both ends.

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::reader_options;

/// Buffer for each direction of a link, in bytes.
///
/// A message is a header and one or more segments. Without a buffer, each of them takes a system call of its
/// own, for every token. Messages larger than the buffer bypass it.
const BUFFER_BYTES: usize = 4 * 1024;

/// Opens the protocol on a connection.
pub(super) fn open(stream: TcpStream, side: Side) -> VatNetwork<BufReader<Compat<OwnedReadHalf>>> {
    let (reader, writer) = stream.into_split();
    VatNetwork::new(
        BufReader::with_capacity(BUFFER_BYTES, reader.compat()),
        BufWriter::with_capacity(BUFFER_BYTES, writer.compat_write()),
        side,
        reader_options(),
    )
}
