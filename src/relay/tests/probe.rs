use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{Discard, Logger, o};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::fleet::Target;
use crate::ident::TargetKey;
use crate::relay::probe::Probes;
use crate::relay::record::DecisionLog;
use crate::routing::{Costs, Policy, ProbeTarget, Router};

/// Time for which all targets are silent, as behind a full link.
const SILENCE: Duration = Duration::from_millis(150);

/// Probes before the silence, from which the round trip is known.
const SOUND_PROBES: usize = 20;

/// Longest time to find a target dead whose round trip is known, while others answer: the margin of
/// a probe, and room for a busy machine.
const DEATH_TIME: Duration = Duration::from_millis(120);

/// The same while nobody answers.
const CUT_OFF_TIME: Duration = Duration::from_millis(800);

/// A target that answers new connections, unless it is made silent.
struct Server {
    listener: Option<TcpListener>,
    addr: SocketAddr,
    domain: SmolStr,
    /// Connections that fill the queue of the listener, whose system then answers no more.
    queued: Vec<TcpStream>,
}

impl Server {
    fn start(domain: &str) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(8).unwrap();
        Self {
            addr: listener.local_addr().unwrap(),
            listener: Some(listener),
            domain: domain.into(),
            queued: Vec::new(),
        }
    }

    /// Takes the connections that have been opened.
    async fn accept(&mut self) {
        self.queued.clear();
        let listener = self.listener.as_ref().unwrap();
        while let Ok(accepted) =
            tokio::time::timeout(Duration::from_millis(1), listener.accept()).await
        {
            accepted.unwrap();
        }
    }

    async fn silence(&mut self) {
        self.accept().await;
        let open =
            || tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(self.addr));
        while let Ok(stream) = open().await {
            self.queued.push(stream.unwrap());
        }
    }
}

struct Fleet {
    servers: Vec<Server>,
    router: Arc<Router>,
    probes: Arc<Probes>,
    log: DecisionLog,
}

impl Fleet {
    /// A fleet whose targets are in these domains.
    async fn start(domains: &[&str]) -> Self {
        let start = |domain: &&str| Server::start(domain);
        let mut fleet = Self {
            servers: domains.iter().map(start).collect(),
            router: Arc::new(Router::new(Policy::Cost, Costs::default())),
            probes: Arc::default(),
            log: DecisionLog::new(Logger::root(Discard, o!())),
        };
        fleet.list();
        for _ in 0..SOUND_PROBES {
            for n in 0..domains.len() {
                assert!(fleet.takes_connections(n).await.0);
                fleet.servers[n].accept().await;
            }
        }
        fleet
    }

    /// Lists the servers at their addresses.
    fn list(&self) {
        let target = |(n, server): (usize, &Server)| Target {
            key: TargetKey(u32::try_from(n).unwrap()),
            name: format!("t-{n}").into(),
            incarnation: 0,
            addr: server.addr,
            domain: server.domain.clone(),
            region: "r".into(),
            service: "app".into(),
            version: "v".into(),
            leaving: false,
        };
        let targets = self.servers.iter().enumerate().map(target);
        self.router.sync(targets.collect());
    }

    fn target(&self, n: usize) -> ProbeTarget {
        let name = format!("t-{n}");
        self.router.probe_target_named(&name).unwrap()
    }

    /// Whether a target takes connections, and how long it took to find out.
    async fn takes_connections(&self, n: usize) -> (bool, Duration) {
        let started = Instant::now();
        let target = self.target(n);
        let probed = self
            .probes
            .takes_connections(&self.router, &self.log, &target);
        (probed.await, started.elapsed())
    }

    async fn silence(&mut self, which: &[usize]) {
        for n in which {
            self.servers[*n].silence().await;
        }
    }

    fn is_dead(&self, n: usize) -> bool {
        self.router.is_dead(self.target(n).key, Instant::now())
    }
}

/// Guards sound targets against blame while this instance hears nobody.
#[tokio::test]
async fn sound_targets_are_not_found_dead_while_all_are_silent_for_a_moment() {
    let mut fleet = Fleet::start(&["a", "a", "b", "c"]).await;
    fleet.silence(&[0, 1, 2, 3]).await;

    for n in 0..4 {
        let target = fleet.target(n);
        fleet.probes.probe(&fleet.router, &fleet.log, target);
    }
    sleep(SILENCE).await;
    for server in &mut fleet.servers {
        server.accept().await;
    }
    sleep(CUT_OFF_TIME).await;

    let dead: Vec<_> = (0..4).filter(|n| fleet.is_dead(*n)).collect();
    assert!(dead.is_empty(), "{dead:?}");
}

/// Guards sound targets against blame while this process is kept from running.
#[tokio::test]
async fn sound_targets_are_not_found_dead_by_late_timers() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    fleet.silence(&[0]).await;
    let target = fleet.target(0);

    fleet.probes.probe(&fleet.router, &fleet.log, target);
    sleep(Duration::from_millis(1)).await;
    std::thread::sleep(SILENCE);
    sleep(Duration::from_millis(10)).await;
    fleet.servers[0].accept().await;
    sleep(CUT_OFF_TIME).await;

    assert!(!fleet.is_dead(0));
}

/// Guards sound targets against blame for a fault of this machine.
#[tokio::test]
async fn target_to_which_no_connection_can_be_opened_from_here_is_not_found_dead() {
    let mut fleet = Fleet::start(&["a", "b"]).await;
    // A connection to a broadcast address fails before anything is sent.
    fleet.servers[0].addr = SocketAddr::from(([255, 255, 255, 255], 9));
    fleet.list();

    fleet.takes_connections(0).await;

    assert!(!fleet.is_dead(0));
}

#[tokio::test]
async fn silent_target_is_found_dead_at_once_while_others_answer() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.silence(&[0]).await;

    let (is_alive, time) = fleet.takes_connections(0).await;

    assert!(!is_alive && fleet.is_dead(0));
    assert!(time < DEATH_TIME, "{time:?}");
}

/// Guards against a death that is found late because others die with it.
#[tokio::test]
async fn silent_target_is_found_dead_at_once_although_half_of_the_witnesses_are_silent() {
    for _ in 0..4 {
        let mut fleet = Fleet::start(&["a", "b", "b"]).await;
        fleet.silence(&[0, 1]).await;

        let (is_alive, time) = fleet.takes_connections(0).await;

        assert!(!is_alive && time < DEATH_TIME, "{time:?}");
    }
}

#[tokio::test]
async fn silent_domain_is_found_dead_at_once_while_others_answer() {
    let mut fleet = Fleet::start(&["a", "a", "a", "b"]).await;
    fleet.silence(&[0, 1, 2]).await;

    let probed = futures_util::future::join_all((0..3).map(|n| fleet.takes_connections(n))).await;

    let is_found = |(is_alive, time): &(bool, Duration)| !is_alive && *time < DEATH_TIME;
    assert!(probed.iter().all(is_found), "{probed:?}");
}

#[tokio::test]
async fn refused_connection_is_a_death_at_once_although_the_others_are_silent() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.silence(&[1, 2]).await;
    fleet.servers[0].listener = None;

    let (is_alive, time) = fleet.takes_connections(0).await;

    assert!(!is_alive && fleet.is_dead(0));
    assert!(time < DEATH_TIME, "{time:?}");
}

#[tokio::test]
async fn instance_that_is_cut_off_gives_its_targets_up() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.silence(&[0, 1, 2]).await;

    let (is_alive, time) = fleet.takes_connections(0).await;

    assert!(!is_alive && fleet.is_dead(0));
    assert!(time < CUT_OFF_TIME, "{time:?}");
}

/// Guards targets against blame by peers for what one instance saw while it was cut off.
#[tokio::test]
async fn deaths_found_while_nobody_is_heard_are_not_told_to_peers() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.silence(&[0, 1, 2]).await;

    fleet.takes_connections(0).await;

    assert!(fleet.is_dead(0));
    let told = fleet.router.peer_report(Instant::now()).dead;
    assert!(told.is_empty(), "{told:?}");
}

#[tokio::test]
async fn death_found_while_others_are_heard_is_told_to_peers() {
    let mut fleet = Fleet::start(&["a", "b", "c"]).await;
    fleet.silence(&[0]).await;

    fleet.takes_connections(0).await;

    assert_eq!(fleet.router.peer_report(Instant::now()).dead, ["t-0"]);
}
