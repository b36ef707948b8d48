//! The questionnaire: shipped answers, what is generated from them, and what `check` says of it.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use endivefork::config::{Fencing, Kind, Repeat};
use endivefork::settings::Settings;
use endivefork::setup::{Answers, Plan};

const ANSWERS: [&str; 2] = ["examples/answers/hire.ini", "examples/answers/captions.ini"];

/// A directory that is removed with the value.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    fn files(&self) -> Vec<PathBuf> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        entries.map(|entry| entry.unwrap().path()).collect()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_endivefork"))
}

fn init(answers: &str, out: &Dir) -> Output {
    program()
        .args(["init", "--answers", answers, "--out"])
        .arg(&out.0)
        .output()
        .unwrap()
}

fn init_by_hand(lines: &str, out: &Dir) -> Output {
    let mut child = program()
        .args(["init", "--out"])
        .arg(&out.0)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(lines.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_accepts_every_file_that_is_generated_from_the_shipped_answers() {
    for answers in ANSWERS {
        let out = Dir::new(&format!("init-{}", answers.replace('/', "-")));
        let made = init(answers, &out);
        assert!(made.status.success(), "{}", text(&made.stderr));

        let files = out
            .files()
            .into_iter()
            .filter(|path| !path.ends_with("keys.txt"));
        let checked = program().arg("check").args(files).output().unwrap();

        assert!(checked.status.success(), "{}", text(&checked.stderr));
    }
}

#[test]
fn settings_follow_from_the_answers() {
    let out = Dir::new("init-settings");
    init(ANSWERS[1], &out);

    let settings = Settings::read(&out.0.join("entry-ub-a-2.ini")).unwrap();

    assert_eq!(settings.instance.name, "entry-ub-a-2");
    assert_eq!(settings.instance.region, "ulaanbaatar");
    assert_eq!(settings.listen.caller.ip().to_string(), "10.20.1.12");
    assert_eq!(settings.peers.seeds.len(), 5);
    assert_eq!(settings.drain, Duration::from_secs(30 * 60));
    assert_eq!(settings.limits.body, 16 << 20);
    assert_eq!(settings.operators.len(), 1);
}

#[test]
fn services_follow_from_the_answers() {
    let out = Dir::new("init-services");
    init(ANSWERS[0], &out);

    let plan = Plan::read(&out.0.join("services.ini")).unwrap();

    let drafting = &plan.services["drafting-llm"];
    assert_eq!(drafting.kind, Kind::Generation);
    assert_eq!(drafting.fencing, Fencing::Checked);
    assert_eq!(drafting.versions["v1"].model, "drafting");
    let booking = &plan.services["booking-app"];
    assert_eq!(booking.timeout_ms, 10_000);
    assert_eq!(booking.routes[0].path, "/deposits");
    assert_eq!(booking.routes[0].repeat, Repeat::Never);
    assert_eq!(booking.routes[0].status.as_deref(), Some("/outcomes"));
    assert_eq!(booking.routes[2].repeat, Repeat::Safe);
    assert_eq!(plan.moves["drafting-llm"].max_share, 0.05);
    assert_eq!(
        plan.moves["drafting-llm"].finish_in,
        Duration::from_secs(6 * 3600)
    );
    assert_eq!(plan.accounts["coast-racks"].weight, 4);
    assert_eq!(plan.accounts["kiosk"].weight, 1);
}

#[test]
fn keys_are_new_each_time_and_only_their_digests_are_in_the_services_file() {
    let (one, two) = (Dir::new("init-keys-1"), Dir::new("init-keys-2"));
    init(ANSWERS[0], &one);
    init(ANSWERS[0], &two);
    let read = |dir: &Dir, file: &str| std::fs::read_to_string(dir.0.join(file)).unwrap();

    let keys = read(&one, "keys.txt");
    let services = read(&one, "services.ini");

    assert_ne!(keys, read(&two, "keys.txt"));
    for line in keys.lines().skip(1) {
        let (_, key) = line.rsplit_once(" = ").unwrap();
        assert!(!services.contains(key), "{line} is in services.ini");
    }
}

#[cfg(unix)]
#[test]
fn files_with_keys_are_for_their_owner_alone() {
    use std::os::unix::fs::PermissionsExt as _;
    let out = Dir::new("init-modes");
    init(ANSWERS[0], &out);

    for file in ["keys.txt", "entry-colombo-a-1.ini"] {
        let mode = std::fs::metadata(out.0.join(file))
            .unwrap()
            .permissions()
            .mode();
        assert_eq!(mode & 0o077, 0, "{file}: {mode:o}");
    }
}

#[test]
fn files_that_are_there_are_kept_unless_forced() {
    let out = Dir::new("init-twice");
    init(ANSWERS[0], &out);
    let before = std::fs::read(out.0.join("keys.txt")).unwrap();

    let again = init(ANSWERS[0], &out);

    assert_eq!(again.status.code(), Some(1));
    assert!(text(&again.stderr).contains("--force"));
    assert_eq!(std::fs::read(out.0.join("keys.txt")).unwrap(), before);
}

#[test]
fn the_questions_can_be_answered_one_by_one() {
    let out = Dir::new("init-by-hand");
    let lines =
        "\nhere-a\nhome\nnowhere\n127.0.0.1\n\nchat\n\nsmall\nv2\n5m\n\n\n\nfirst\n\nhigh\n2h\n";

    let made = init_by_hand(lines, &out);

    let asked = text(&made.stderr);
    assert!(made.status.success(), "{asked}");
    assert!(
        asked.contains("allowed: IP addresses separated by commas"),
        "{asked}"
    );
    let answers = Answers::read(&out.0.join("answers.ini")).unwrap();
    assert_eq!(answers.workloads["chat"].version, "v2");
    let plan = Plan::read(&out.0.join("services.ini")).unwrap();
    assert_eq!(plan.services["chat"].versions["v2"].model, "small");
    assert_eq!(plan.moves["chat"].max_share, 0.5);
    Settings::read(&out.0.join("entry-here-a-1.ini")).unwrap();
}

#[test]
fn answers_that_end_early_write_nothing() {
    let out = Dir::new("init-early");

    let made = init_by_hand("\nhere-a\n", &out);

    assert_eq!(made.status.code(), Some(1));
    assert!(!out.0.exists());
}

#[test]
fn faults_of_the_answers_are_found_together() {
    let bad = "[platform]\naddr = here\n[place a b]\nregion = r\nentries = x\n[workload w]\n\
               kind = generation\nnever = POST deposits\n[accounts]\nlarge = a\nsmall = a\n\
               [risk]\ntolerance = none\nhat = 1\n[colour]\n";

    let findings = Answers::parse(bad).unwrap_err().to_string();

    for message in [
        "answers:2: bad value `here` of `addr`",
        "answers:3: bad section [place a b]",
        "answers:5: bad value `x` of `entries`",
        "`model` is missing in [workload w]",
        "bad value `POST deposits` of `never`",
        "account `a` is both large and small",
        "bad value `none` of `tolerance`",
        "unknown key `hat` in [risk]",
        "unknown section [colour]",
    ] {
        assert!(findings.contains(message), "no {message} in:\n{findings}");
    }
}

#[test]
fn faults_of_a_services_file_are_found_together_with_their_lines() {
    let digest = "ab".repeat(32);
    let bad = format!(
        "[service s]\nkind = plain\nversion = v9\ntimeout = 2h\n[version s v1]\nmodel = m\n\
         [route s all]\npath = /\nrepeat = safe\n[route s late]\nmethod = POST\npath = /x\n\
         repeat = never\n[route t x]\npath = y\nrepeat = perhaps\n[account a]\nkey_sha256 = {digest}\n\
         [account b]\nkey_sha256 = {digest}\nweight = 0\n[move s]\nmax_share = 2\n"
    );

    let findings = Plan::parse(&bad).unwrap_err().to_string();

    for message in [
        "services:3: service `s`: version `v9` is not among the versions",
        "services:4: service `s`: bad timeout of 7200000 ms",
        "services:6: service `s`: version `v1` of a plain service names a model",
        "services:12: service `s`: never reached: route 0 matches all its calls",
        "services:16: bad value `perhaps` of `repeat`",
        "account `b`: account `a` has the same key",
        "account `b`: bad weight 0",
        "services:23: bad value `2` of `max_share`",
    ] {
        assert!(findings.contains(message), "no {message} in:\n{findings}");
    }
}
