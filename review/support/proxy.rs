//! A proxy before the links of one daemon, which can cut them: connections stay open and go silent.
//!
//! A link begins with the address of the daemon that opened it, so the proxy can cut the links of one
//! machine and leave the others alone.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Bytes at the begin of a link in which the address of its sender stands.
const SENDER_BYTES: usize = 24;

/// Starts a proxy from `listen` to `target`. While `cut` is true, nothing passes on the links that
/// `only_from` has opened, or on any link if there is none.
pub fn start_proxy(
    listen: SocketAddr,
    target: SocketAddr,
    cut: &Arc<AtomicBool>,
    only_from: Option<Ipv4Addr>,
) {
    let listener = TcpListener::bind(listen).expect("bind the proxy");
    let cut = cut.clone();
    std::thread::spawn(move || {
        for incoming in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || serve(incoming, target, cut, only_from));
        }
    });
}

fn serve(
    mut incoming: TcpStream,
    target: SocketAddr,
    cut: Arc<AtomicBool>,
    only_from: Option<Ipv4Addr>,
) -> Option<()> {
    let mut first = [0_u8; SENDER_BYTES];
    incoming.read_exact(&mut first).ok()?;
    let is_cut = only_from.is_none_or(|ip| first.windows(4).any(|bytes| bytes == ip.octets()));
    let cut = if is_cut { cut } else { Arc::default() };
    if cut.load(Ordering::Relaxed) {
        // Nothing answers during a cut; the one that tries gives up and comes again.
        wait_while(&cut);
        return None;
    }
    let mut outgoing = TcpStream::connect(target).ok()?;
    incoming.set_nodelay(true).ok()?;
    outgoing.set_nodelay(true).ok()?;
    outgoing.write_all(&first).ok()?;
    let (one, other) = (incoming.try_clone().ok()?, outgoing.try_clone().ok()?);
    let back = cut.clone();
    std::thread::spawn(move || copy(one, other, &cut));
    copy(outgoing, incoming, &back);
    Some(())
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = vec![0_u8; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if cut.load(Ordering::Relaxed) {
            // The connection is silent during a cut, and both ends give it up meanwhile.
            wait_while(cut);
            break;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    from.shutdown(std::net::Shutdown::Both).ok();
    to.shutdown(std::net::Shutdown::Both).ok();
}
