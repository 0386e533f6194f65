//! A listener that keeps the number of open connections within this node's share of sockets: the
//! rest are for the store, the cloud, the machines and the peers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub struct Bounded<A> {
    inner: A,
    slots: Arc<Semaphore>,
}

impl<A> Bounded<A> {
    pub fn new(inner: A, slots: Arc<Semaphore>) -> Bounded<A> {
        Bounded { inner, slots }
    }
}

impl<A: Acceptor> Acceptor for Bounded<A> {
    type Io = Counted<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    /// Waits for a free slot first: a balancer that finds nobody accepting moves on.
    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let slot = self
            .slots
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        match self.inner.accept().await {
            Ok((io, local, remote, scheme)) => {
                let io = Counted { io, _slot: slot };
                Ok((io, local, remote, scheme))
            }
            Err(e) => {
                // Out of sockets after all: not to be asked again at once.
                tokio::time::sleep(Duration::from_millis(50)).await;
                Err(e)
            }
        }
    }
}

/// A connection that gives its slot back when it is dropped.
pub struct Counted<I> {
    io: I,
    _slot: OwnedSemaphorePermit,
}

impl<I: AsyncRead + Unpin> AsyncRead for Counted<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Counted<I> {
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
