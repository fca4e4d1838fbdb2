//! Runs a server on its own thread and reads the CPU time of that thread.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Delay between two attempts to connect to a server that starts.
const CONNECT_PAUSE: Duration = Duration::from_millis(1);

/// Channel on which the thread sends its CPU time.
type CpuTimeReply = oneshot::Sender<Duration>;

/// A server on its own thread that runs until it is closed.
pub struct ServerThread {
    pub address: SocketAddr,
    time_requests: mpsc::UnboundedSender<CpuTimeReply>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ServerThread {
    /// Starts a server at a free loopback address.
    pub fn start<F, S>(serve: F) -> Self
    where
        F: FnOnce(SocketAddr, oneshot::Receiver<()>) -> S + Send + 'static,
        S: std::future::Future<Output = ()>,
    {
        let listener =
            std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind to a free port");
        let address = listener.local_addr().expect("the listener has an address");
        drop(listener);
        let (time_requests, request_receiver) = mpsc::unbounded_channel();
        let (stop, stop_receiver) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("failed to build the runtime");
            LocalSet::new().block_on(&runtime, async move {
                tokio::task::spawn_local(serve_time_requests(request_receiver));
                serve(address, stop_receiver).await;
            });
        });
        Self {
            address,
            time_requests,
            stop,
            thread,
        }
    }

    /// Waits until the server accepts connections. A daemon whose endpoint refuses one calls it no more
    /// until its next announcement, of which a measurement has none.
    pub fn wait_until_listening(self) -> Self {
        while std::net::TcpStream::connect(self.address).is_err() {
            std::thread::sleep(CONNECT_PAUSE);
        }
        self
    }

    /// Returns the CPU time that the thread has used.
    pub fn cpu_time(&self) -> Duration {
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.time_requests
            .send(reply_sender)
            .expect("the server thread is running");
        reply_receiver
            .blocking_recv()
            .expect("the server thread replies")
    }

    /// Stops the server and waits for its thread.
    pub fn close(self) {
        drop(self.stop);
        self.thread.join().expect("the server thread panicked");
    }
}

async fn serve_time_requests(mut request_receiver: mpsc::UnboundedReceiver<CpuTimeReply>) {
    while let Some(reply_sender) = request_receiver.recv().await {
        let cpu_time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
            .expect("failed to read the CPU time of the thread");
        reply_sender
            .send(cpu_time.into())
            .expect("the requester is waiting");
    }
}
