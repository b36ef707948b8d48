use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::sync::mpsc::{self, Sender};
use std::task::{Context, Wake, Waker};
use std::thread;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::time::{Instant, sleep};

use super::{connect, within};

const LIMIT: Duration = Duration::from_millis(50);

/// Stops the thread that delivers events and expired timers, as a stop of the process does.
struct ReactorStop(Sender<()>);

impl Wake for ReactorStop {
    fn wake(self: Arc<Self>) {
        self.0.send(()).unwrap();
        thread::sleep(3 * LIMIT);
    }
}

/// Guards targets that accepted a connection against blame for a stop of this process.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn connection_that_was_accepted_during_a_stop_of_this_process_is_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (stopping, is_stopping) = mpsc::channel();
    let stop = Waker::from(Arc::new(ReactorStop(stopping)));
    let mut stopped = Context::from_waker(&stop);
    // The first stop is before the timers, the second one right after that of the connection.
    let (mut writer, reader) = UnixStream::pair().unwrap();
    assert!(reader.poll_read_ready(&mut stopped).is_pending());
    let mut second = pin!(sleep(2 * LIMIT));
    assert!(second.as_mut().poll(&mut stopped).is_pending());
    writer.write_all(b"event").await.unwrap();
    is_stopping.recv().unwrap();

    let opened = connect(addr, LIMIT).await;

    opened.unwrap();
}

/// Guards the limit itself: the last look must not become a wait.
#[tokio::test]
async fn connection_that_nobody_accepts_fails_at_its_limit() {
    let started = Instant::now();

    let opened = within(LIMIT, pending::<TcpStream>()).await;

    assert!(opened.is_err());
    assert!(started.elapsed() < LIMIT + Duration::from_secs(1));
}
