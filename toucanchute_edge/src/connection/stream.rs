use std::{
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::ConnectionTracker;

/// Whether bytes of the peer have arrived that were not read. Asks the kernel, since the runtime may
/// not have noticed them yet.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    socket2::SockRef::from(stream)
        .peek(&mut byte)
        .is_ok_and(|len| len > 0)
}

/// A caller's socket that reports to a [`ConnectionTracker`] what is read and written.
///
/// The socket is shared, so that it stays open after the HTTP connection that uses it is dropped.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: Arc<TcpStream>,
    tracker: Arc<ConnectionTracker>,
}

impl CallerStream {
    pub(crate) fn new(stream: Arc<TcpStream>, tracker: Arc<ConnectionTracker>) -> CallerStream {
        CallerStream { stream, tracker }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => {
                    self.tracker.caller_closed();
                    return Poll::Ready(Err(e));
                }
                Ok(len) => {
                    self.tracker.bytes_written(len);
                    return Poll::Ready(Ok(len));
                }
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => {
                    self.tracker.caller_closed();
                    return Poll::Ready(Err(e));
                }
                Ok(0) => {
                    self.tracker.caller_closed();
                    return Poll::Ready(Ok(()));
                }
                Ok(len) => {
                    self.tracker.bytes_read(len);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tracker.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.stream);
        match socket.shutdown(Shutdown::Write) {
            // The caller has reset the connection, which therefore is closed.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            done => Poll::Ready(done),
        }
    }
}
