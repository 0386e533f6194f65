//! Listens, accepts connections within the limit and closes evicted connections.

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

/// The pause after a connection could not be accepted, which means that no sockets are left.
const FAILED_ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a listener's backlog. The kernel's own limit is about the upper bound.
const MIN_BACKLOG: usize = 8;
const MAX_BACKLOG: usize = 4_096;

/// Listens on `addr` with a bounded backlog, because connections that wait to be accepted also use
/// sockets.
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

/// An acceptor that accepts every connection, so that none waits in the backlog, where it would also
/// count as a socket, and closes at once those that exceed the limit. An agent whose connection is
/// closed tries another node.
pub struct LimitedAcceptor<A> {
    inner: A,
    clock: Clock,
    connections: Arc<Connections>,
}

impl<A> LimitedAcceptor<A> {
    /// Creates an acceptor that accepts from `inner` within the limit of `connections`.
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
            let Some(&remote_addr) = remote.as_socket_addr() else {
                continue;
            };
            if let Some(connection) = self.connections.admit(remote_addr, self.clock.now()) {
                let io = LimitedConnection {
                    io,
                    remote_addr,
                    connection,
                    clock: self.clock,
                    connections: self.connections.clone(),
                };
                return Ok((io, local, remote, scheme));
            }
        }
    }
}

/// A connection that reads as ended once it is evicted, and removes itself from [`Connections`] when it
/// is dropped.
pub struct LimitedConnection<I> {
    io: I,
    remote_addr: SocketAddr,
    connection: Arc<Connection>,
    clock: Clock,
    connections: Arc<Connections>,
}

impl<I> Drop for LimitedConnection<I> {
    fn drop(&mut self) {
        self.connections.release(self.remote_addr, &self.connection);
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for LimitedConnection<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_closing() {
            // Success without any data is the end of the stream, upon which the server closes the
            // connection.
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
