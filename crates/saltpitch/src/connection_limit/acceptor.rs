//! Listening, accepting connections within the limit, and closing those that are evicted.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpSocket;

use super::{Connection, Connections};
use crate::clock::Clock;

/// The pause after a connection that could not be accepted, which means that there are no sockets left.
const FAILED_ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a listener's backlog; the kernel keeps no more than about the latter.
const MIN_BACKLOG: usize = 8;
const MAX_BACKLOG: usize = 4_096;

/// Listens with a bounded backlog: connections that wait to be accepted take sockets as well.
pub fn listen(addr: SocketAddr, backlog: usize) -> io::Result<TcpAcceptor> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    let backlog = backlog.clamp(MIN_BACKLOG, MAX_BACKLOG) as u32;
    TcpAcceptor::from_tokio(socket.listen(backlog)?)
}

/// Accepts every connection, so that none waits where the kernel counts sockets, and closes at once what
/// exceeds the limit: an agent then asks another node.
pub struct LimitedAcceptor<A> {
    inner: A,
    clock: Clock,
    connections: Arc<Connections>,
}

impl<A> LimitedAcceptor<A> {
    /// Accepts from `inner` within the limit of `connections`.
    pub fn new(inner: A, clock: Clock, connections: Arc<Connections>) -> LimitedAcceptor<A> {
        LimitedAcceptor {
            inner,
            clock,
            connections,
        }
    }
}

impl<A: Acceptor> Acceptor for LimitedAcceptor<A> {
    type Io = LimitedConnection<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (io, local, remote, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tokio::time::sleep(FAILED_ACCEPT_PAUSE).await;
                    return Err(error);
                }
            };
            let Some(&from) = remote.as_socket_addr() else {
                continue;
            };
            if let Some(connection) = self.connections.admit(from, self.clock.now()) {
                let io = LimitedConnection {
                    io,
                    from,
                    connection,
                    clock: self.clock,
                    connections: self.connections.clone(),
                };
                return Ok((io, local, remote, scheme));
            }
        }
    }
}

/// A connection that leaves the table when it is dropped, and ends when it is evicted.
pub struct LimitedConnection<I> {
    io: I,
    from: SocketAddr,
    connection: Arc<Connection>,
    clock: Clock,
    connections: Arc<Connections>,
}

impl<I> Drop for LimitedConnection<I> {
    fn drop(&mut self) {
        self.connections.release(self.from, &self.connection);
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for LimitedConnection<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_closing() {
            // Nothing read and no error is the end of the stream: the server closes the connection.
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if read.is_ready() {
            self.connection.record_read(self.clock.now());
        } else {
            self.connection.set_waker(cx.waker());
        }
        read
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for LimitedConnection<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
