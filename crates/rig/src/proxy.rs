//! TCP proxy that injects network faults, which can change while it runs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use futures::FutureExt;
use futures::future::{join, select};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{self, Handle};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Size of the buffer of each read, and so of the largest queued chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Most chunks that are queued in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Fault of one direction of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Holds back all bytes while true; queued bytes arrive once it is false.
    pub blocked: bool,
    /// Time by which each byte is delayed.
    pub delay: Duration,
    /// Bandwidth limit of this direction of each connection; `None` has no limit.
    pub bytes_per_second: Option<u64>,
}

/// Fault of all connections of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Fault of the direction from client to server.
    pub forward: Flow,
    /// Fault of the direction from server to client.
    pub backward: Flow,
    /// Whether new connections are reset.
    pub refuse_connections: bool,
    /// Whether the close of one side is not passed on to the other.
    pub half_open: bool,
}

impl Fault {
    /// Blocks both directions, as a network partition does.
    #[must_use]
    pub fn partition() -> Self {
        let flow = Flow { blocked: true, ..Flow::default() };
        Self { forward: flow, backward: flow, ..Self::default() }
    }

    /// Blocks the direction from server to client: requests arrive, answers do not.
    #[must_use]
    pub fn block_answers() -> Self {
        Self { backward: Flow { blocked: true, ..Flow::default() }, ..Self::default() }
    }

    /// Delays every byte in both directions.
    #[must_use]
    pub fn slow(delay: Duration) -> Self {
        let flow = Flow { delay, ..Flow::default() };
        Self { forward: flow, backward: flow, ..Self::default() }
    }
}

/// Thread that runs proxies; all of them end when it is dropped.
#[derive(Debug)]
pub struct Runtime {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Handle of one proxy in front of a server.
#[derive(Debug)]
pub struct Link {
    /// Address of the proxy, to be used instead of the server's.
    pub address: SocketAddr,
    fault: watch::Sender<Fault>,
    reset_count: watch::Sender<u64>,
}

impl Runtime {
    /// Starts the thread without any proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub fn open() -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new().name("proxies".into()).spawn(move || {
            // A dropped sender ends the thread as well.
            runtime.block_on(stopped).unwrap_or_default();
        })?;
        Ok(Self { handle, stop: Some(stop), thread: Some(thread) })
    }

    /// Starts a proxy in front of `server` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn link(&self, server: SocketAddr) -> io::Result<Link> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(Fault::default());
        let (reset_count, resets) = watch::channel(0);
        let _guard = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        self.handle.spawn(accept(listener, server, faults, resets));
        Ok(Link { address, fault, reset_count })
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has printed its message before.
            thread.join().unwrap_or_default();
        }
    }
}

impl Link {
    /// Replaces the fault of open and new connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Removes the fault; bytes that were held back arrive now.
    pub fn heal(&self) {
        self.set_fault(Fault::default());
    }

    /// Resets all open connections; new ones are not affected.
    pub fn reset_connections(&self) {
        self.reset_count.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    faults: watch::Receiver<Fault>,
    resets: watch::Receiver<u64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        if faults.borrow().refuse_connections {
            abort_on_drop(&client);
            continue;
        }
        let mut reset = resets.clone();
        reset.mark_unchanged();
        let relay = relay(client, server, faults.clone()).boxed();
        tokio::spawn(async move {
            let reset = reset.changed().map(drop).boxed();
            select(relay, reset).await;
        });
    }
}

/// Makes dropping `stream` send a reset instead of a normal close.
fn abort_on_drop(stream: &TcpStream) {
    // If the option cannot be set, the connection closes normally; no test depends on it.
    stream.set_zero_linger().unwrap_or_default();
}

async fn relay(mut client: TcpStream, server: SocketAddr, faults: watch::Receiver<Fault>) {
    abort_on_drop(&client);
    wait_until(&faults, |fault| !fault.forward.blocked).await;
    let Ok(mut server) = TcpStream::connect(server).await else { return };
    abort_on_drop(&server);
    for stream in [&client, &server] {
        // Without this option the kernel delays small writes, which distorts measured times.
        stream.set_nodelay(true).unwrap_or_default();
    }
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let forward = pump(client_read, server_write, faults.clone(), |fault| fault.forward);
    let backward = pump(server_read, client_write, faults, |fault| fault.backward);
    join(forward, backward).await;
}

/// Waits until `allows` returns true for the current fault.
///
/// Never returns if the [`Link`] is dropped before that.
async fn wait_until(faults: &watch::Receiver<Fault>, allows: impl FnMut(&Fault) -> bool) {
    let mut faults = faults.clone();
    if faults.wait_for(allows).await.is_err() {
        futures::future::pending::<()>().await;
    }
}

type Direction = fn(&Fault) -> Flow;

async fn pump(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    faults: watch::Receiver<Fault>,
    direction: Direction,
) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    join(
        read_chunks(from, sender, faults.clone(), direction),
        write_chunks(to, receiver, faults, direction),
    )
    .await;
}

/// Queued bytes and the time at which they are due.
struct Chunk {
    due_at: Instant,
    bytes: Vec<u8>,
}

async fn read_chunks(
    mut from: ReadHalf<'_>,
    sender: mpsc::Sender<Chunk>,
    faults: watch::Receiver<Fault>,
    direction: Direction,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let due_at = Instant::now() + direction(&faults.borrow()).delay;
        if sender.send(Chunk { due_at, bytes: buffer[..count].to_vec() }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Chunk>,
    faults: watch::Receiver<Fault>,
    direction: Direction,
) {
    while let Some(Chunk { due_at, bytes }) = receiver.recv().await {
        sleep_until(due_at).await;
        wait_until(&faults, |fault| !direction(fault).blocked).await;
        let bytes_per_second = direction(&faults.borrow()).bytes_per_second;
        if let Some(bytes_per_second) = bytes_per_second {
            sleep(
                Duration::from_secs(bytes.len() as u64)
                    / u32::try_from(bytes_per_second).unwrap_or(1).max(1),
            )
            .await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    wait_until(&faults, |fault| !direction(fault).blocked && !fault.half_open).await;
    // The shutdown fails if the receiver has closed the connection.
    to.shutdown().await.unwrap_or_default();
}
