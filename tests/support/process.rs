//! Child processes that are killed when the test ends.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

/// Timeout for the first output line, which contains the listen addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The first line of its output.
    pub banner: String,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts `command` and waits for its first line of output.
    pub fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("could not start {command:?}: {e}"));
        let out = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let (send, receive) = mpsc::channel();
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let written = Arc::clone(&lines);
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                written.lock().push(line.clone());
                let _ = send.send(line);
            }
        });
        let banner = receive.recv_timeout(START_TIMEOUT).unwrap_or_else(|e| {
            let _ = child.kill();
            panic!("no first line from {command:?}: {e}")
        });
        Self {
            child,
            banner,
            lines,
        }
    }

    /// The lines that it has written to its standard output.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().clone()
    }

    /// The address that follows `label` in the first line.
    pub fn addr(&self, label: &str) -> SocketAddr {
        let mut words = self.banner.split_whitespace();
        words.find(|w| *w == label);
        let addr = words
            .next()
            .unwrap_or_else(|| panic!("no {label} in {:?}", self.banner));
        addr.parse().expect("an address")
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the signal `name` (`STOP`, `CONT`, `TERM`).
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("could not run kill");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Waits up to `limit` for its end. Returns whether it exited successfully, or `None` if it is
    /// still running.
    pub fn ended(&mut self, limit: Duration) -> Option<bool> {
        let step = Duration::from_millis(20);
        for _ in 0..=limit.as_millis() / step.as_millis() {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            thread::sleep(step);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The built example program `name`.
pub fn example(name: &str) -> PathBuf {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_endivefork"));
    let path = binary.with_file_name("examples").join(name);
    assert!(
        path.exists(),
        "{} is missing: run cargo build --examples",
        path.display()
    );
    path
}
