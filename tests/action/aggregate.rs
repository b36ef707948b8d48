//! The aggregate alone, under every order of steps, losses and crashes that a script can name.

use std::time::{Duration, Instant};

use bytes::Bytes;
use endivefork::action::{
    Cause, Claim, Command, Event, Held, Leftover, Now, Outcome, Record, Rules, Stage, Terms,
    Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"endivefork: actions at most once";
const CASES: u32 = 20_000;
const TRIES: usize = 3;

/// One try and what was seen of it.
struct Try {
    claim: Claim,
    next: Command,
    killed: bool,
    sent: bool,
    end: Option<Verdict>,
}

/// One platform object, one service, several tries.
struct Sim {
    start: Instant,
    elapsed: Duration,
    rev: u64,
    past: Vec<Option<Held>>,
    late: Vec<(Record, u64)>,
    leftovers: Vec<Leftover>,
    tries: Vec<Try>,
    flying: u32,
    runs: u32,
    rules: Rules,
}

impl Sim {
    fn new(direct: bool) -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            rev: 0,
            past: vec![None],
            late: Vec::new(),
            leftovers: Vec::new(),
            tries: Vec::new(),
            flying: 0,
            runs: 0,
            rules: Rules {
                direct,
                ..Rules::default()
            },
        }
    }

    fn now(&self) -> Now {
        Now {
            at: self.start + self.elapsed,
            wall_ms: 1_000_000 + self.elapsed.as_millis() as u64,
        }
    }

    fn present(&self) -> Option<Held> {
        self.past.last().cloned().flatten()
    }

    fn add_try(&mut self) {
        let nonce = format!("n{}", self.tries.len());
        let terms = Terms {
            record: Record {
                digest: "d".into(),
                service: "s".into(),
                owner: "o".into(),
                nonce: nonce.into(),
                at_ms: 0,
                check: Some("/status/k".into()),
                stage: Stage::Claimed,
            },
            timeout: Duration::from_secs(2),
            deadline: self.start + self.elapsed + Duration::from_secs(20),
            known_sent: false,
        };
        let mut claim = Claim::new(self.rules, terms);
        let next = claim.step(Event::Start, self.now());
        self.tries.push(Try {
            claim,
            next,
            killed: false,
            sent: false,
            end: None,
        });
    }

    /// The platform's conditional write.
    fn put(&mut self, record: Record, over: u64) -> Result<u64, Box<Option<Held>>> {
        let present = self.present();
        if present.as_ref().map_or(0, |h| h.rev) != over {
            return Err(Box::new(present));
        }
        self.rev += 1;
        let held = Held {
            rev: self.rev,
            record,
        };
        self.past.push(Some(held));
        Ok(self.rev)
    }

    fn write(&mut self, record: Record, over: u64, fate: u8) -> Event {
        match fate % 8 {
            0..=3 => match self.put(record, over) {
                Ok(rev) => Event::Written(rev),
                Err(present) => Event::Conflict(*present),
            },
            4 => {
                self.put(record, over).ok();
                Event::WriteLost
            }
            5 => {
                self.late.push((record, over));
                Event::WriteLost
            }
            6 => Event::WriteLost,
            _ => Event::Refused((fate > 127).then_some(Duration::from_millis(50))),
        }
    }

    fn read(&self, fate: u8) -> Event {
        match fate % 6 {
            0..=3 => Event::Read(self.present()),
            4 => {
                let stale = self.past.len().saturating_sub(2);
                Event::Read(self.past[stale].clone())
            }
            _ => Event::ReadFailed,
        }
    }

    fn run(&mut self) -> Outcome {
        self.runs += 1;
        Outcome {
            status: 201,
            content: "text/plain".into(),
            body: Bytes::from(format!("run {}", self.runs)),
        }
    }

    fn send(&mut self, by: Instant, fate: u8) -> (bool, Event) {
        match fate % 6 {
            _ if self.now().at >= by => (false, Event::NotSent),
            0..=1 => (true, Event::Answered(self.run())),
            2 => {
                self.run();
                (true, Event::AnswerLost)
            }
            3 => {
                self.flying += 1;
                (true, Event::AnswerLost)
            }
            4 => (true, Event::AnswerLost),
            _ => (false, Event::NotSent),
        }
    }

    /// Carries out the next command of a try.
    fn step(&mut self, index: usize, fate: u8) {
        let command = self.tries[index].next.clone();
        let event = match command {
            Command::Connect if fate % 8 == 7 => Event::NoTarget,
            Command::Connect => Event::Connected,
            Command::Write { record, over } => self.write(record, over, fate),
            Command::Read => self.read(fate),
            Command::Send(by) => {
                let (sent, event) = self.send(by, fate);
                self.tries[index].sent |= sent;
                event
            }
            Command::Check(_) => {
                let ran = self.runs > 0 && fate.is_multiple_of(2);
                Event::Checked(ran.then(first_run))
            }
            Command::Wait(time) => {
                self.elapsed += time;
                Event::Waited
            }
            Command::Finish(end, leftover) => {
                self.leftovers.extend(leftover);
                self.tries[index].end = Some(end);
                return;
            }
        };
        let now = self.now();
        let one = &mut self.tries[index];
        one.next = one.claim.step(event, now);
    }

    fn settle(&mut self, fate: u8) {
        let Some(mut leftover) = self.leftovers.pop() else {
            return;
        };
        let written = match fate % 4 {
            0 => {
                self.put(leftover.record.clone(), leftover.over).ok();
                self.leftovers.insert(0, leftover);
                return;
            }
            1 => {
                self.leftovers.insert(0, leftover);
                return;
            }
            _ => self.put(leftover.record.clone(), leftover.over),
        };
        if let Err(Some(held)) = written.map_err(|present| *present)
            && let Some(rev) = leftover.next(held.rev, &held.record)
        {
            leftover.over = rev;
            self.leftovers.push(leftover);
        }
    }

    fn land(&mut self, fate: u8) {
        if !self.late.is_empty() {
            let index = usize::from(fate) % self.late.len();
            let (record, over) = self.late.remove(index);
            self.put(record, over).ok();
        }
        if self.flying > 0 && fate.is_multiple_of(2) {
            self.flying -= 1;
            self.run();
        }
    }

    fn act(&mut self, who: u8, fate: u8) {
        let index = usize::from(who) % (TRIES + 4);
        match index {
            i if i < self.tries.len() => {
                if !self.tries[i].killed && self.tries[i].end.is_none() {
                    self.step(i, fate);
                }
            }
            i if i < TRIES => self.add_try(),
            3 => self.settle(fate),
            4 => self.land(fate),
            5 if fate.is_multiple_of(16) => {
                let victim = usize::from(fate / 16) % TRIES;
                if let Some(one) = self.tries.get_mut(victim) {
                    one.killed = true;
                }
            }
            _ => self.elapsed += Duration::from_millis(u64::from(fate) * 4),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs <= 1, "ran {} times", self.runs);
        let sends = self.tries.iter().filter(|t| t.sent).count();
        prop_assert!(sends <= 1, "{} tries sent", sends);
        for one in &self.tries {
            match &one.end {
                Some(Verdict::NotRun(_)) => prop_assert!(!one.sent, "not_run after a send"),
                Some(Verdict::Ran(o) | Verdict::Replayed(o)) => {
                    prop_assert_eq!(&o.body, "run 1");
                    prop_assert_eq!(self.runs, 1);
                }
                Some(Verdict::KeyReused | Verdict::TooLarge(_)) => {
                    return Err(TestCaseError::fail("an impossible verdict"));
                }
                Some(Verdict::Unknown(_)) | None => {}
            }
        }
        Ok(())
    }

    /// Lets everything come to rest without further faults.
    fn drain(&mut self) {
        for index in 0..self.tries.len() {
            while !self.tries[index].killed && self.tries[index].end.is_none() {
                self.step(index, 0);
            }
        }
        while !self.late.is_empty() || self.flying > 0 {
            self.land(0);
        }
        while !self.leftovers.is_empty() {
            self.settle(2);
        }
    }

    /// Whether a `sent` claim may rightly stay without an outcome.
    fn in_doubt(&self) -> bool {
        let Some(held) = self.present() else {
            return false;
        };
        let owner = (0..self.tries.len()).find(|i| held.record.nonce == format!("n{i}"));
        let owner = owner.map(|i| &self.tries[i]);
        held.record.stage == Stage::Sent && owner.is_some_and(|t| t.killed || t.sent)
    }
}

fn first_run() -> Outcome {
    Outcome {
        status: 201,
        content: "text/plain".into(),
        body: Bytes::from_static(b"run 1"),
    }
}

/// At most one run, true verdicts, and no claim stuck that was not sent.
#[test]
fn any_interleaving() {
    println!("seed {:?}, {CASES} cases", str::from_utf8(&SEED));
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let script = (
        any::<bool>(),
        prop::collection::vec(any::<(u8, u8)>(), 10..120),
    );
    let result = TestRunner::new_with_rng(config, rng).run(&script, |(direct, script)| {
        let mut sim = Sim::new(direct);
        sim.add_try();
        for (who, fate) in script {
            sim.act(who, fate);
            sim.check()?;
        }
        sim.drain();
        sim.check()?;
        let doubt = sim.in_doubt();
        sim.add_try();
        let last = sim.tries.len() - 1;
        while sim.tries[last].end.is_none() {
            sim.step(last, 0);
        }
        sim.check()?;
        let end = sim.tries[last].end.clone();
        let whole = matches!(end, Some(Verdict::Ran(_) | Verdict::Replayed(_)));
        prop_assert!(whole || doubt, "stuck: {:?}", end);
        Ok(())
    });
    result.unwrap();
}

/// Without a target, a claim that was not sent is refused and one that ran is replayed.
#[test]
fn no_target() {
    let mut sim = Sim::new(false);
    sim.add_try();

    sim.step(0, 7);
    sim.step(0, 0);
    sim.step(0, 0);

    assert_eq!(sim.tries[0].end, Some(Verdict::NotRun(Cause::NoTarget)));
}

/// A claim that was sent and is not shown any more is no leave to send again: a lagging read may
/// not know it yet, or its key is no longer kept.
#[test]
fn vanished_claim() {
    let mut sim = Sim::new(false);
    sim.add_try();
    while !matches!(sim.tries[0].next, Command::Send(_)) {
        sim.step(0, 0);
    }
    sim.tries[0].killed = true;
    sim.add_try();
    while !matches!(sim.tries[1].next, Command::Read) {
        sim.step(1, 0);
    }

    sim.past.push(None);
    while sim.tries[1].end.is_none() {
        sim.step(1, 0);
    }

    let end = sim.tries[1].end.clone();
    assert!(matches!(end, Some(Verdict::Unknown(_))), "{end:?}");
    assert_eq!(sim.runs, 0);
}

/// When the owner stores the outcome while another try looks it up, all hear the stored one.
#[test]
fn stored_outcome_wins() {
    let mut sim = Sim::new(false);
    sim.add_try();
    while !sim.tries[0].sent {
        sim.step(0, 0);
    }
    sim.add_try();
    while !matches!(sim.tries[1].next, Command::Check(_)) {
        sim.step(1, 0);
    }
    let now = sim.now();
    let asked = Outcome {
        content: "application/json".into(),
        ..first_run()
    };
    let two = &mut sim.tries[1];
    two.next = two.claim.step(Event::Checked(Some(asked)), now);

    sim.step(0, 0);
    sim.step(1, 0);
    sim.step(0, 0);
    sim.step(1, 0);

    assert_eq!(sim.tries[0].end, Some(Verdict::Ran(first_run())));
    assert_eq!(sim.tries[1].end, Some(Verdict::Replayed(first_run())));
}
