//! TCP relay that can close connections or silently drop their bytes, like a faulty network.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 * 1024;

/// Handling of connections by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes in both directions.
    Forward,
    /// Closes open connections and every new one.
    Disconnect,
}

/// A running TCP relay.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    /// Connections with a number below this one discard all bytes.
    silent_below: Arc<AtomicU64>,
    /// Number of connections accepted so far; each one's number is the count before it.
    opened: Arc<AtomicU64>,
    accepting: JoinHandle<()>,
}

impl TcpRelay {
    /// Relays connections on a free loopback port to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Relays connections from `address` to `target`.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("failed to bind the address of the relay");
        let address = listener.local_addr().expect("the listener has an address");
        let (mode, mode_receiver) = watch::channel(RelayMode::Forward);
        let silent_below = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let accepting = tokio::spawn(accept(
            listener,
            target,
            mode_receiver,
            silent_below.clone(),
            opened.clone(),
        ));
        Self {
            address,
            mode,
            silent_below,
            opened,
            accepting,
        }
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Discards all further bytes on the connections that are open now; new connections work.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Stops accepting connections.
    pub fn close(self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<RelayMode>,
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
) {
    while let Ok((inbound, _)) = listener.accept().await {
        let number = opened.fetch_add(1, Ordering::SeqCst);
        if *mode.borrow() == RelayMode::Disconnect {
            continue;
        }
        let mut mode = mode.clone();
        let silent_below = silent_below.clone();
        tokio::spawn(async move {
            let relayed = relay(inbound, target, number, silent_below);
            let disconnected = mode.wait_for(|mode| *mode == RelayMode::Disconnect);
            tokio::select! {
                () = relayed => {}
                _ = disconnected => {}
            }
        });
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, number: u64, silent_below: Arc<AtomicU64>) {
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would delay small writes, which the relay must not add to the connection.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let forward = copy_bytes(inbound_read, outbound_write, number, &silent_below);
    let backward = copy_bytes(outbound_read, inbound_write, number, &silent_below);
    tokio::join!(forward, backward);
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    silent_below: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let silent = number < silent_below.load(Ordering::SeqCst);
        if silent && count > 0 {
            continue;
        }
        if silent {
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
