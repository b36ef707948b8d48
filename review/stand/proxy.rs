//! A proxy between an instance and the store whose channels can go silent.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Passes bytes on between clients and one server.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    /// Channels that were opened under an earlier number pass nothing on, and stay open.
    epoch: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let proxy = Self {
            addr: listener.local_addr().expect("it is bound"),
            epoch: Arc::default(),
        };
        let clone = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(server) else {
                    continue;
                };
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let (a, b) = (clone.clone(), clone.clone());
                let opened = clone.epoch.load(Ordering::SeqCst);
                thread::spawn(move || a.pass(near, far, opened));
                thread::spawn(move || b.pass(far2, near2, opened));
            }
        });
        proxy
    }

    /// Makes all open channels silent for good. New ones work.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, opened: usize) {
        let _ = to.set_nodelay(true);
        let mut block = [0; 16 * 1024];
        loop {
            let n = from.read(&mut block).unwrap_or(0);
            if self.epoch.load(Ordering::SeqCst) != opened {
                // What arrives on a silent channel is lost, also its end.
                if n == 0 {
                    std::mem::forget((from, to));
                    return;
                }
                continue;
            }
            if n == 0 || to.write_all(&block[..n]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    }
}
