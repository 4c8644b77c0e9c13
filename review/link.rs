//! A link to a server that can be cut: then new connections are refused and open ones are reset.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::reset_on_close;

/// Time between two looks whether the link is cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A link; clones are the same link.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
        };
        let running = link.clone();
        thread::spawn(move || running.run(listener, server));
        link
    }

    /// Cuts the link or restores it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn run(&self, listener: TcpListener, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let open = listener.get_or_insert_with(|| {
                TcpListener::bind(self.address).expect("the port of the link")
            });
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((client, _)) => self.join(client, server),
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn join(&self, client: TcpStream, server: SocketAddr) {
        let _ = client.set_nonblocking(false);
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let back = (server.try_clone(), client.try_clone());
        let is_cut = Arc::clone(&self.is_cut);
        thread::spawn(move || copy(client, server, &is_cut));
        if let (Ok(server), Ok(client)) = back {
            let is_cut = Arc::clone(&self.is_cut);
            thread::spawn(move || copy(server, client, &is_cut));
        }
    }
}

/// Copies bytes until the connection ends; passes on how it ends, and resets it when the link is cut.
fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
    loop {
        if is_cut.load(Ordering::SeqCst) {
            reset_on_close(&from);
            reset_on_close(&to);
            return;
        }
        let count = match from.read(&mut bytes) {
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => {
                reset_on_close(&to);
                reset_on_close(&from);
                // Wakes the other direction, which holds the same sockets.
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        };
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
