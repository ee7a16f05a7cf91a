//! A client connection while it carries a request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};

use super::stream::BufferedStream;

/// The kernel gives a connection up when the server has not acknowledged bytes for this long,
/// in ms. It bounds how late a request can arrive at the server's machine, even if the process that
/// sent it has been suspended or killed. The server may read it from there at any later time.
pub const UNACKNOWLEDGED_LIMIT_MS: u32 = 1_000;

/// A connection on which a request is being sent or its response being read.
///
/// Unless the exchange is finished, dropping it resets the connection: an orderly close would
/// leave the kernel to go on delivering a request that nobody waits for any more, for example
/// once a partition has healed.
#[derive(Debug)]
pub(super) struct Exchange(Option<BufferedStream>);

impl Exchange {
    /// Connects to `address`.
    pub(super) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        set_tcp_user_timeout(&stream, UNACKNOWLEDGED_LIMIT_MS)?;
        // Without it, only small requests are slower.
        let _ = stream.set_nodelay(true);
        Ok(Self::begin(BufferedStream::new(stream)))
    }

    /// Begins an exchange on a connection that is open already.
    pub(super) const fn begin(stream: BufferedStream) -> Self {
        Self(Some(stream))
    }

    /// The connection.
    ///
    /// # Panics
    /// Never: the connection is taken out only by [`Self::finish`], which consumes the exchange.
    pub(super) fn stream(&mut self) -> &mut BufferedStream {
        self.0.as_mut().expect("the exchange is not finished")
    }

    /// Ends the exchange after its complete response; the connection may be used again.
    ///
    /// # Panics
    /// Never, as for [`Self::stream`].
    pub(super) fn finish(mut self) -> BufferedStream {
        self.0.take().expect("the exchange is not finished")
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(stream) = &self.0
            && let Err(error) = set_socket_linger(stream.tcp(), Some(Duration::ZERO))
        {
            spdlog::warn!("connection_not_reset", kv: { error = error.to_string() });
        }
    }
}
