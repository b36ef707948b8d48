//! Property tests of the state machine alone, under random orders of steps, losses and crashes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use endivefork::action::{
    Cause, Claim, Command, DeferredWrite, Event, Limits, Now, Outcome, Params, Record, Stage,
    StoredClaim, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"endivefork: actions at most once";
const CASES: u32 = 20_000;
const ATTEMPTS: usize = 3;

/// One attempt and its observed state.
struct SimAttempt {
    claim: Claim,
    next: Command,
    killed: bool,
    sent: bool,
    verdict: Option<Verdict>,
}

/// Simulation of one platform object, one service and several attempts.
struct Sim {
    start: Instant,
    elapsed: Duration,
    rev: u64,
    history: Vec<Option<StoredClaim>>,
    delayed: Vec<(Record, u64)>,
    deferred: Vec<DeferredWrite>,
    attempts: Vec<SimAttempt>,
    in_flight: u32,
    runs: u32,
    limits: Limits,
}

impl Sim {
    fn new(direct: bool) -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            rev: 0,
            history: vec![None],
            delayed: Vec::new(),
            deferred: Vec::new(),
            attempts: Vec::new(),
            in_flight: 0,
            runs: 0,
            limits: Limits {
                direct,
                ..Limits::default()
            },
        }
    }

    fn now(&self) -> Now {
        Now {
            at: self.start + self.elapsed,
            wall_ms: 1_000_000 + self.elapsed.as_millis() as u64,
        }
    }

    fn present(&self) -> Option<StoredClaim> {
        self.history.last().cloned().flatten()
    }

    fn add_attempt(&mut self) {
        let nonce = format!("n{}", self.attempts.len());
        let params = Params {
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
        let mut claim = Claim::new(self.limits, params);
        let next = claim.step(Event::Start, self.now());
        self.attempts.push(SimAttempt {
            claim,
            next,
            killed: false,
            sent: false,
            verdict: None,
        });
    }

    /// The platform's conditional write.
    fn put(&mut self, record: Record, base: u64) -> Result<u64, Box<Option<StoredClaim>>> {
        let present = self.present();
        if present.as_ref().map_or(0, |h| h.rev) != base {
            return Err(Box::new(present));
        }
        self.rev += 1;
        let stored = StoredClaim {
            rev: self.rev,
            record,
        };
        self.history.push(Some(stored));
        Ok(self.rev)
    }

    fn write(&mut self, record: Record, base: u64, choice: u8) -> Event {
        match choice % 8 {
            0..=3 => match self.put(record, base) {
                Ok(rev) => Event::Written(rev),
                Err(present) => Event::Conflict(*present),
            },
            4 => {
                self.put(record, base).ok();
                Event::WriteLost
            }
            5 => {
                self.delayed.push((record, base));
                Event::WriteLost
            }
            6 => Event::WriteLost,
            _ => Event::Refused((choice > 127).then_some(Duration::from_millis(50))),
        }
    }

    fn read(&self, choice: u8) -> Event {
        match choice % 6 {
            0..=3 => Event::Read(self.present()),
            4 => {
                let stale = self.history.len().saturating_sub(2);
                Event::Read(self.history[stale].clone())
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

    fn send(&mut self, by: Instant, choice: u8) -> (bool, Event) {
        match choice % 6 {
            _ if self.now().at >= by => (false, Event::NotSent),
            0..=1 => (true, Event::Answered(self.run())),
            2 => {
                self.run();
                (true, Event::AnswerLost)
            }
            3 => {
                self.in_flight += 1;
                (true, Event::AnswerLost)
            }
            4 => (true, Event::AnswerLost),
            _ => (false, Event::NotSent),
        }
    }

    /// Executes the next command of an attempt.
    fn step(&mut self, index: usize, choice: u8) {
        let command = self.attempts[index].next.clone();
        let event = match command {
            Command::Connect if choice % 8 == 7 => Event::NoTarget,
            Command::Connect => Event::Connected,
            Command::Write { record, base } => self.write(record, base, choice),
            Command::Read => self.read(choice),
            Command::Send(by) => {
                let (sent, event) = self.send(by, choice);
                self.attempts[index].sent |= sent;
                event
            }
            Command::Check(_) => {
                let ran = self.runs > 0 && choice.is_multiple_of(2);
                Event::Checked(ran.then(first_run))
            }
            Command::Wait(time) => {
                self.elapsed += time;
                Event::Waited
            }
            Command::Finish(verdict, write) => {
                self.deferred.extend(write);
                self.attempts[index].verdict = Some(verdict);
                return;
            }
        };
        let now = self.now();
        let attempt = &mut self.attempts[index];
        attempt.next = attempt.claim.step(event, now);
    }

    fn run_deferred(&mut self, choice: u8) {
        let Some(mut write) = self.deferred.pop() else {
            return;
        };
        let written = match choice % 4 {
            0 => {
                self.put(write.record.clone(), write.base).ok();
                self.deferred.insert(0, write);
                return;
            }
            1 => {
                self.deferred.insert(0, write);
                return;
            }
            _ => self.put(write.record.clone(), write.base),
        };
        if let Err(Some(stored)) = written.map_err(|present| *present)
            && let Some(rev) = write.next(stored.rev, &stored.record)
        {
            write.base = rev;
            self.deferred.push(write);
        }
    }

    fn deliver_delayed(&mut self, choice: u8) {
        if !self.delayed.is_empty() {
            let index = usize::from(choice) % self.delayed.len();
            let (record, base) = self.delayed.remove(index);
            self.put(record, base).ok();
        }
        if self.in_flight > 0 && choice.is_multiple_of(2) {
            self.in_flight -= 1;
            self.run();
        }
    }

    fn act(&mut self, actor: u8, choice: u8) {
        let index = usize::from(actor) % (ATTEMPTS + 4);
        match index {
            i if i < self.attempts.len() => {
                if !self.attempts[i].killed && self.attempts[i].verdict.is_none() {
                    self.step(i, choice);
                }
            }
            i if i < ATTEMPTS => self.add_attempt(),
            3 => self.run_deferred(choice),
            4 => self.deliver_delayed(choice),
            5 if choice.is_multiple_of(16) => {
                let victim = usize::from(choice / 16) % ATTEMPTS;
                if let Some(attempt) = self.attempts.get_mut(victim) {
                    attempt.killed = true;
                }
            }
            _ => self.elapsed += Duration::from_millis(u64::from(choice) * 4),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs <= 1, "ran {} times", self.runs);
        let sends = self.attempts.iter().filter(|t| t.sent).count();
        prop_assert!(sends <= 1, "{} attempts sent", sends);
        for attempt in &self.attempts {
            match &attempt.verdict {
                Some(Verdict::NotRun(_)) => prop_assert!(!attempt.sent, "not_run after a send"),
                Some(Verdict::Ran(o) | Verdict::Replayed(o)) => {
                    prop_assert_eq!(&o.body, "run 1");
                    prop_assert_eq!(self.runs, 1);
                }
                Some(Verdict::KeyReused | Verdict::TooLarge(_)) => {
                    return Err(TestCaseError::fail("unexpected verdict"));
                }
                Some(Verdict::Unknown(_)) | None => {}
            }
        }
        Ok(())
    }

    /// Runs all attempts and pending writes to completion without further faults.
    fn run_to_completion(&mut self) {
        for index in 0..self.attempts.len() {
            while !self.attempts[index].killed && self.attempts[index].verdict.is_none() {
                self.step(index, 0);
            }
        }
        while !self.delayed.is_empty() || self.in_flight > 0 {
            self.deliver_delayed(0);
        }
        while !self.deferred.is_empty() {
            self.run_deferred(2);
        }
    }

    /// Whether the claim may stay `sent` without an outcome: its attempt was killed or sent the
    /// action.
    fn may_stay_unknown(&self) -> bool {
        let Some(stored) = self.present() else {
            return false;
        };
        let owner = (0..self.attempts.len()).find(|i| stored.record.nonce == format!("n{i}"));
        let owner = owner.map(|i| &self.attempts[i]);
        stored.record.stage == Stage::Sent && owner.is_some_and(|t| t.killed || t.sent)
    }
}

fn first_run() -> Outcome {
    Outcome {
        status: 201,
        content: "text/plain".into(),
        body: Bytes::from_static(b"run 1"),
    }
}

/// The action runs at most once, verdicts are correct, and no claim of an unsent action gets stuck.
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
        sim.add_attempt();
        for (actor, choice) in script {
            sim.act(actor, choice);
            sim.check()?;
        }
        sim.run_to_completion();
        sim.check()?;
        let may_stay_unknown = sim.may_stay_unknown();
        sim.add_attempt();
        let last = sim.attempts.len() - 1;
        while sim.attempts[last].verdict.is_none() {
            sim.step(last, 0);
        }
        sim.check()?;
        let verdict = sim.attempts[last].verdict.clone();
        let completed = matches!(verdict, Some(Verdict::Ran(_) | Verdict::Replayed(_)));
        prop_assert!(completed || may_stay_unknown, "stuck: {:?}", verdict);
        Ok(())
    });
    result.unwrap();
}

/// Without a reachable target and without a claim, the attempt reports that the action did not run.
#[test]
fn no_target() {
    let mut sim = Sim::new(false);
    sim.add_attempt();

    sim.step(0, 7);
    sim.step(0, 0);
    sim.step(0, 0);

    assert_eq!(
        sim.attempts[0].verdict,
        Some(Verdict::NotRun(Cause::NoTarget))
    );
}

/// If a `sent` claim is missing from a later read, the action must not be sent again: the read may
/// be stale, or the claim may have been removed after its retention.
#[test]
fn missing_claim() {
    let mut sim = Sim::new(false);
    sim.add_attempt();
    while !matches!(sim.attempts[0].next, Command::Send(_)) {
        sim.step(0, 0);
    }
    sim.attempts[0].killed = true;
    sim.add_attempt();
    while !matches!(sim.attempts[1].next, Command::Read) {
        sim.step(1, 0);
    }

    sim.history.push(None);
    while sim.attempts[1].verdict.is_none() {
        sim.step(1, 0);
    }

    let verdict = sim.attempts[1].verdict.clone();
    assert!(matches!(verdict, Some(Verdict::Unknown(_))), "{verdict:?}");
    assert_eq!(sim.runs, 0);
}

/// If the owner stores the outcome while another attempt queries the status call, both return the
/// stored outcome.
#[test]
fn stored_outcome_wins() {
    let mut sim = Sim::new(false);
    sim.add_attempt();
    while !sim.attempts[0].sent {
        sim.step(0, 0);
    }
    sim.add_attempt();
    while !matches!(sim.attempts[1].next, Command::Check(_)) {
        sim.step(1, 0);
    }
    let now = sim.now();
    let queried = Outcome {
        content: "application/json".into(),
        ..first_run()
    };
    let second = &mut sim.attempts[1];
    second.next = second.claim.step(Event::Checked(Some(queried)), now);

    sim.step(0, 0);
    sim.step(1, 0);
    sim.step(0, 0);
    sim.step(1, 0);

    assert_eq!(sim.attempts[0].verdict, Some(Verdict::Ran(first_run())));
    assert_eq!(
        sim.attempts[1].verdict,
        Some(Verdict::Replayed(first_run()))
    );
}

/// Another attempt got so far and died; an attempt that reaches the end of a shutdown after any of
/// its steps neither sends nor takes over.
#[test]
fn attempt_late_in_a_shutdown_sends_nothing() {
    for (first, late) in (0..4).flat_map(|first| (0..8).map(move |late| (first, late))) {
        let mut sim = Sim::new(false);
        sim.add_attempt();
        for _ in 0..first {
            sim.step(0, 0);
        }
        sim.attempts[0].killed = true;
        sim.add_attempt();
        for _ in 0..late {
            if !matches!(sim.attempts[1].next, Command::Send(_) | Command::Finish(..)) {
                sim.step(1, 0);
            }
        }

        let end = sim.now().at;
        if !matches!(sim.attempts[1].next, Command::Send(_)) {
            sim.attempts[1].claim.end_by(end);
        }
        while !sim.attempts[1].sent && sim.attempts[1].verdict.is_none() {
            sim.step(1, 0);
        }

        let verdict = sim.attempts[1].verdict.clone();
        let refused = match (first, &verdict) {
            (_, None) => sim.attempts[1].sent,
            (3, Some(verdict)) => *verdict == Verdict::Unknown(Cause::Busy),
            (2, Some(Verdict::NotRun(Cause::Busy))) => true,
            (_, Some(verdict)) => *verdict == Verdict::NotRun(Cause::Shutdown),
        };
        assert!(refused, "{first} {late} {verdict:?}");
        let last = sim.present().map(|c| c.record.stage);
        let reverted = verdict.is_none() || first == 3 || last != Some(Stage::Sent);
        assert!(reverted, "{first} {late} {last:?}");
    }
}
