//! Membership of a large fleet in simulated time: each instance sends heartbeats to a bounded number
//! of others, and all agree on the aggregator of each failure domain, also after failures.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use endivefork::peer::{
    CANDIDATES, Evidence, Gossip, Heartbeat, Layout, Member, Members, Reach, ranked,
};
use smol_str::SmolStr;
use tokio::time::Instant;

const PERIOD: Duration = Duration::from_secs(1);

/// Rounds after the start in which an instance counts as new.
const STARTUP_ROUNDS: u32 = 10;

struct Node {
    me: Member,
    members: Members,
    started: u32,
    up: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    at: HashMap<SocketAddr, usize>,
    seeds: Vec<usize>,
    begin: Instant,
    round: u32,
    /// Heartbeats sent by each instance in the last round.
    sent: Vec<usize>,
}

fn members(me: &Member) -> Members {
    Members::new(me.name.clone(), PERIOD).with_layout(Layout::Tiered)
}

impl Fleet {
    /// `each` instances in each of `domains` failure domains, three of them with more CPU.
    fn new(domains: usize, each: usize) -> Self {
        let member = |domain: usize, n: usize| Member {
            name: format!("d{domain}-{n}").into(),
            addr: ([10, domain as u8, (n / 250) as u8, (n % 250) as u8], 1).into(),
            domain: format!("d{domain}").into(),
            region: format!("r{}", domain / 2).into(),
            capacity: if n.is_multiple_of(each / 3) && n < each / 3 * 3 {
                500
            } else {
                120
            },
        };
        let all = (0..domains).flat_map(|domain| (0..each).map(move |n| member(domain, n)));
        let nodes: Vec<_> = all
            .map(|me| Node {
                members: members(&me),
                me,
                started: 0,
                up: true,
            })
            .collect();
        Self {
            at: nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (node.me.addr, n))
                .collect(),
            seeds: vec![1, each + 1, 2 * each + 1],
            begin: Instant::now(),
            round: 0,
            sent: vec![0; nodes.len()],
            nodes,
        }
    }

    fn now(&self) -> Instant {
        self.begin + PERIOD * self.round
    }

    fn beat(&mut self, n: usize, wants_members: bool) -> Heartbeat {
        let now = self.now();
        let age = self.round - self.nodes[n].started;
        let node = &mut self.nodes[n];
        let others: Vec<Gossip> = match node.members.is_tiered() {
            false => node.members.gossip_batch(8, now),
            true if wants_members => {
                let mut others = node.members.gossip_candidates();
                others.extend(node.members.next_batch(24));
                others
            }
            true if node.members.is_settled(now) => Vec::new(),
            true => node.members.gossip_candidates(),
        };
        Heartbeat {
            from: node.me.clone(),
            incarnation: 1,
            leaving: false,
            wants_members: age <= STARTUP_ROUNDS,
            others,
        }
    }

    /// Runs one heartbeat round of all instances.
    fn step(&mut self) {
        let now = self.now();
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up {
                continue;
            }
            let node = &mut self.nodes[n];
            let tiered = node.members.is_tiered();
            let new = self.round - node.started < STARTUP_ROUNDS;
            let alone = node.members.alive().next().is_none();
            let mut due: HashSet<_> = match tiered {
                false => node
                    .members
                    .due(&node.me.domain, self.round as usize)
                    .map(|m| m.addr)
                    .collect(),
                true => {
                    node.members.expire(now);
                    let me = node.me.clone();
                    node.members
                        .due_tiered(&me)
                        .into_iter()
                        .map(|m| m.addr)
                        .collect()
                }
            };
            if new || alone {
                due.extend(self.seeds.iter().map(|s| self.nodes[*s].me.addr));
            }
            due.remove(&self.nodes[n].me.addr);
            self.sent[n] = due.len();
            for addr in due {
                let to = self.at[&addr];
                let name = self.nodes[to].me.name.clone();
                if !self.nodes[to].up {
                    self.nodes[n].members.record(&name, Evidence::Refused, now);
                    continue;
                }
                let beat = self.beat(n, false);
                self.nodes[to].members.receive(&beat, now);
                let answer = self.beat(to, beat.wants_members);
                self.nodes[n].members.receive(&answer, now);
            }
        }
        self.round += 1;
    }

    /// The aggregators that the running instances of a domain elect.
    fn aggregators(&self, domain: &str) -> HashSet<SmolStr> {
        let running = self.nodes.iter().filter(|n| n.up && n.me.domain == domain);
        let first = running.map(|n| {
            let known = n.members.alive().chain([&n.me]);
            ranked(domain, known)[0].name.clone()
        });
        first.collect()
    }

    fn expected_aggregator(&self, domain: &str) -> SmolStr {
        let running = self.nodes.iter().filter(|n| n.up).map(|n| &n.me);
        ranked(domain, running)[0].name.clone()
    }

    fn agrees(&self) -> bool {
        (0..6).all(|d| {
            let domain = format!("d{d}");
            self.aggregators(&domain) == HashSet::from([self.expected_aggregator(&domain)])
        })
    }

    fn kill(&mut self, name: &str) {
        let n = self.nodes.iter().position(|n| n.me.name == name).unwrap();
        self.nodes[n].up = false;
    }

    /// Restarts an instance with no members.
    fn restart(&mut self, name: &str) {
        let n = self.nodes.iter().position(|n| n.me.name == name).unwrap();
        let me = self.nodes[n].me.clone();
        self.nodes[n].members = members(&me);
        self.nodes[n].started = self.round;
        self.nodes[n].up = true;
    }
}

fn settled(each: usize) -> Fleet {
    let mut fleet = Fleet::new(6, each);
    (0..14).for_each(|_| fleet.step());
    fleet
}

#[test]
fn a_starting_fleet_agrees_on_its_aggregators() {
    for each in [4, 12, 24] {
        let fleet = settled(each);

        assert!(fleet.agrees(), "{each} instances in each domain");
    }
}

/// Guards against heartbeats to a whole domain: with one to all instances of the own domain and
/// some of the others, each of 300 instances sent 110 a round.
#[test]
fn heartbeats_do_not_grow_with_the_fleet() {
    let most = |each: usize| {
        let mut fleet = settled(each);
        fleet.step();
        let mean = fleet.sent.iter().sum::<usize>() as f64 / fleet.sent.len() as f64;
        (fleet.sent.iter().copied().max().unwrap(), mean)
    };

    let (small, large, largest) = (most(6), most(16), most(40));

    // A candidate contacts three instances in its own domain and in each of five others.
    assert!(largest.0 <= CANDIDATES * 6, "{largest:?}");
    assert!(
        largest.1 <= large.1 && large.1 <= small.1,
        "{small:?} {large:?} {largest:?}"
    );
    // Others contact three instances; candidates two, and three in each other domain.
    let each = 40.0;
    let all = CANDIDATES as f64 * (each - 3.0) + CANDIDATES as f64 * (2.0 + 15.0);
    assert!((largest.1 - all / each).abs() < 1e-9, "{largest:?}");
}

#[test]
fn the_next_in_rank_aggregates_when_all_candidates_of_a_domain_fail_at_once() {
    let mut fleet = settled(14);
    for _ in 0..CANDIDATES {
        let first = fleet.expected_aggregator("d1");
        fleet.kill(&first);
    }

    (0..3).for_each(|_| fleet.step());

    assert!(fleet.agrees());
}

#[test]
fn a_restarted_instance_agrees_on_the_aggregator_within_two_rounds() {
    let mut fleet = settled(14);
    (0..60).for_each(|_| fleet.step());
    fleet.kill("d2-7");
    (0..5).for_each(|_| fleet.step());
    fleet.restart("d2-7");

    (0..2).for_each(|_| fleet.step());

    assert!(fleet.agrees());
}

#[test]
fn a_restarted_aggregator_is_elected_again() {
    let mut fleet = settled(14);
    let first = fleet.expected_aggregator("d3");
    fleet.kill(&first);
    (0..20).for_each(|_| fleet.step());
    assert!(fleet.agrees(), "with the aggregator down");

    fleet.restart(&first);
    (0..3).for_each(|_| fleet.step());

    assert_eq!(fleet.expected_aggregator("d3"), first);
    assert!(fleet.agrees(), "with the aggregator restarted");
}

/// Half of the fleet fails, including the seeds.
#[test]
fn the_remaining_instances_agree_without_the_seeds() {
    let mut fleet = settled(14);
    for n in (1..fleet.nodes.len()).step_by(2) {
        fleet.nodes[n].up = false;
    }
    for seed in fleet.seeds.clone() {
        fleet.nodes[seed].up = false;
    }

    (0..6).for_each(|_| fleet.step());

    assert!(fleet.agrees());
}

/// A candidate paused long enough to be marked silent still gets heartbeats, and so is found when it
/// resumes.
#[test]
fn a_paused_candidate_is_elected_again_after_it_resumes() {
    let mut fleet = settled(12);
    let first = fleet.expected_aggregator("d0");
    let n = fleet.nodes.iter().position(|n| n.me.name == first).unwrap();
    fleet.nodes[n].up = false;
    for node in fleet.nodes.iter_mut().filter(|n| n.me.domain == "d0") {
        let now = fleet.begin + PERIOD * (fleet.round + 5);
        node.members.record(&first, Evidence::TimedOut, now);
    }
    let silent = fleet.nodes[n + 1].members.reach(&first);
    fleet.nodes[n].up = true;
    (0..2).for_each(|_| fleet.step());

    assert_ne!(silent, Reach::Alive);
    assert!(fleet.agrees());
}
