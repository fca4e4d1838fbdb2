//! A loopback proxy before the port at which a daemon accepts links; it can cut them without a word.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest time for which a proxy waits for bytes before it looks whether it is cut.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the links are cut; shared by the proxies of a deployment.
#[derive(Clone, Default)]
pub struct LinkCut {
    cut: Arc<AtomicBool>,
}

impl LinkCut {
    pub fn set(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Waits until the links are no longer cut.
    fn wait_healed(&self) {
        while self.is_cut() {
            thread::sleep(LOOK_INTERVAL);
        }
    }
}

/// Forwards connections from one address to the other while the links aren't cut.
pub fn start_proxy(from: SocketAddr, to: SocketAddr, cut: &LinkCut) -> Result<()> {
    let listener = TcpListener::bind(from)?;
    let cut = cut.clone();
    thread::spawn(move || {
        while let Ok((caller, _)) = listener.accept() {
            let cut = cut.clone();
            // A daemon may have ended.
            thread::spawn(move || drop(forward(caller, to, &cut)));
        }
    });
    Ok(())
}

fn forward(caller: TcpStream, to: SocketAddr, cut: &LinkCut) -> Result<()> {
    if cut.is_cut() {
        // Nothing gets through, not even the end of the connection.
        cut.wait_healed();
        return Ok(());
    }
    let callee = TcpStream::connect(to)?;
    let copies = [(caller.try_clone()?, callee.try_clone()?), (callee, caller)];
    for (mut source, mut target) in copies {
        source.set_nodelay(true)?;
        source.set_read_timeout(Some(LOOK_INTERVAL))?;
        let cut = cut.clone();
        thread::spawn(move || {
            copy(&mut source, &mut target, &cut);
            cut.wait_healed();
            // The other direction may have closed both already.
            drop(source.shutdown(Shutdown::Both));
            drop(target.shutdown(Shutdown::Both));
        });
    }
    Ok(())
}

/// Copies bytes until the connection ends or the links are cut.
fn copy(source: &mut TcpStream, target: &mut TcpStream, cut: &LinkCut) {
    let mut bytes = [0; 16384];
    while !cut.is_cut() {
        match source.read(&mut bytes) {
            Ok(0) => return,
            Ok(count) if cut.is_cut() || target.write_all(&bytes[..count]).is_err() => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
