//! A TCP relay that can cut connections or let them go silent, as the network between VMs does.

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

/// What the relay does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes them on.
    Forward,
    /// Closes connections and refuses new ones.
    Disconnect,
}

/// A running relay.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    /// Connections opened before this one swallow bytes.
    silent_below: Arc<AtomicU64>,
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
            .expect("the address is free");
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes or cuts from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Lets every connection that is open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Stops accepting.
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
    // Small writes must not wait for one another, or the relay would add delays of its own.
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
