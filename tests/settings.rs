//! Contract of the settings file: defaults, units, and a table of bad files with their findings.

use std::path::Path;
use std::time::Duration;

use endivefork::settings::{Findings, KEYS, LogFormat, Settings};

const GOOD: &str = "\
[instance]
name = entry-1
domain = colombo-a
region = western
[listen]
caller = 127.0.0.1:8080
admin = 127.0.0.1:8081
peer = 127.0.0.1:8082
[platform]
addr = 127.0.0.1:9000
[peers]
key = not-to-be-shown
";

fn with(extra: &str) -> String {
    format!("{GOOD}{extra}")
}

fn replaced(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "fixture lacks {from}");
    GOOD.replace(from, to)
}

fn findings(text: &str) -> Findings {
    match Settings::parse(text) {
        Ok(_) => panic!("no findings for:\n{text}"),
        Err(findings) => findings,
    }
}

#[test]
fn defaults_fill_what_is_left_out() {
    let settings = Settings::parse(GOOD).unwrap();

    assert_eq!(settings.platform.timeout, Duration::from_secs(1));
    assert_eq!(settings.platform.poll, Duration::from_secs(1));
    assert_eq!(settings.peers.heartbeat, Duration::from_millis(500));
    assert_eq!(settings.limits.headers, 16 << 10);
    assert_eq!(settings.limits.body, 4 << 20);
    assert_eq!(settings.limits.receive, Duration::from_secs(10));
    assert_eq!(settings.limits.idle, Duration::from_secs(60));
    assert_eq!(settings.limits.connections, 10_000);
    assert_eq!(settings.log.format, LogFormat::Human);
    assert_eq!(settings.log.level, slog::Level::Info);
    assert_eq!(settings.drain, Duration::from_secs(30 * 60));
    assert_eq!(settings.peers.advertise, None);
    assert!(settings.operators.is_empty());
    assert!(settings.peers.seeds.is_empty());
}

#[test]
fn units_and_lists_are_read() {
    let digest = "AB".repeat(32);
    let text = with(&format!(
        "seeds = 10.0.0.1:1, 10.0.0.2:2\nheartbeat = 250 ms\n[operators]\nnight = {digest}\n\
         [limits]\nbody = 64MiB\nheaders = 512 B\n[log]\nformat = json\nlevel = debug\n\
         [drain]\ntimeout = 2m\n"
    ));

    let settings = Settings::parse(&text).unwrap();

    assert_eq!(settings.peers.seeds.len(), 2);
    assert_eq!(settings.peers.heartbeat, Duration::from_millis(250));
    assert_eq!(settings.operators["night"], digest.to_lowercase());
    assert_eq!(settings.limits.body, 64 << 20);
    assert_eq!(settings.limits.headers, 512);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.drain, Duration::from_secs(120));
}

#[test]
fn each_fault_is_found_with_its_line_and_what_is_allowed() {
    let digest = "cd".repeat(32);
    let table = [
        (
            with("[colour]\nx = 1\n"),
            13,
            "unknown section [colour]",
            "operators",
        ),
        (
            with("colour = red\n"),
            13,
            "unknown key `peers.colour`",
            "heartbeat",
        ),
        (
            with("heartbeat = soon\n"),
            13,
            "bad value `soon` of `peers.heartbeat`",
            "250ms",
        ),
        (with("heartbeat = 0s\n"), 13, "bad value `0s`", "above 0"),
        (
            with("heartbeat = 5\n"),
            13,
            "bad value `5`",
            "ms, s, m or h",
        ),
        (
            with("[limits]\nbody = 64MB\n"),
            14,
            "bad value `64MB` of `limits.body`",
            "MiB",
        ),
        (
            with("[limits]\nbody = 99999999999999999999GiB\n"),
            14,
            "bad value",
            "GiB",
        ),
        (
            with("[limits]\nconnections = -1\n"),
            14,
            "bad value `-1`",
            "above 0",
        ),
        (
            with("[log]\nformat = xml\n"),
            14,
            "bad value `xml`",
            "human or json",
        ),
        (
            with("[log]\nlevel = loud\n"),
            14,
            "bad value `loud`",
            "critical",
        ),
        (
            with("key = again\n"),
            13,
            "`peers.key` stands twice, first on line 12",
            "once",
        ),
        (
            with("[listen]\n"),
            13,
            "section [listen] stands twice, first on line 5",
            "once",
        ),
        (
            with("nonsense\n"),
            13,
            "line without a value",
            "key = value",
        ),
        (
            with("[broken\n"),
            13,
            "malformed section header",
            "[section]",
        ),
        (
            format!("x = 1\n{GOOD}"),
            1,
            "before any section",
            "[section] first",
        ),
        (
            replaced("name = entry-1\n", ""),
            1,
            "`instance.name` is missing",
            "letters",
        ),
        (
            replaced("entry-1", "entry 1"),
            2,
            "bad value `entry 1`",
            "letters",
        ),
        (
            replaced("[platform]\naddr = 127.0.0.1:9000\n", ""),
            0,
            "`platform.addr` is missing",
            "port",
        ),
        (
            replaced("127.0.0.1:9000", "localhost:9000"),
            10,
            "bad value `localhost:9000`",
            "IP",
        ),
        (
            replaced("127.0.0.1:9000", "127.0.0.1:0"),
            10,
            "bad value `127.0.0.1:0`",
            "IP",
        ),
        (
            replaced("not-to-be-shown", ""),
            12,
            "`peers.key` is empty",
            "not empty",
        ),
        (
            replaced("127.0.0.1:8081", "127.0.0.1:8080"),
            7,
            "the same address",
            "differ",
        ),
        (
            replaced("127.0.0.1:8082", "0.0.0.0:8080"),
            8,
            "the same address",
            "differ",
        ),
        (
            replaced(
                "9000
",
                "9000
poll = 500ms
",
            ),
            11,
            "`platform.poll` is shorter than `platform.timeout`",
            "at least",
        ),
        (
            with("seeds = 127.0.0.1:8082\n"),
            13,
            "names this instance's own address",
            "other",
        ),
        (
            with("seeds = 127.0.0.1:8083, x\n"),
            13,
            "bad value",
            "commas",
        ),
        (
            with("[operators]\nnight = 1234\n"),
            14,
            "`operators.night` is not a digest",
            "64 hex",
        ),
        (
            with(&format!("[operators]\na = {digest}\nb = {digest}\n")),
            15,
            "operators `a` and `b` have the same key",
            "one key",
        ),
    ];
    for (text, line, message, allowed) in table {
        let found = findings(&text);
        let hit = found.0.iter().any(|finding| {
            finding.line == line
                && finding.message.contains(message)
                && finding.allowed.contains(allowed)
        });
        assert!(
            hit,
            "wanted {line}: {message} ({allowed}), got:\n{found}\nfor:\n{text}"
        );
    }
}

#[test]
fn all_findings_come_together_in_order() {
    let text = "[instance]\nname = a b\n[listen]\ncaller = here\n[limits]\nbody = big\n[hat]\n";

    let found = findings(text);

    let lines: Vec<_> = found.0.iter().map(|finding| finding.line).collect();
    assert!(lines.is_sorted(), "{found}");
    for message in [
        "bad value `a b`",
        "`instance.domain` is missing",
        "`instance.region` is missing",
        "bad value `here`",
        "`listen.admin` is missing",
        "`listen.peer` is missing",
        "`platform.addr` is missing",
        "`peers.key` is missing",
        "bad value `big`",
        "unknown section [hat]",
    ] {
        assert!(
            found.to_string().contains(message),
            "no {message} in:\n{found}"
        );
    }
}

#[test]
fn a_secret_is_in_neither_findings_nor_debug_text() {
    let twice = findings(&with("key = also-not-to-be-shown\n"));
    let settings = Settings::parse(GOOD).unwrap();

    assert!(!twice.to_string().contains("not-to-be-shown"));
    assert!(!format!("{settings:?}").contains("not-to-be-shown"));
}

#[test]
fn comments_blank_lines_and_line_ends_do_not_matter() {
    let text = GOOD.replace('\n', "\r\n\r\n; comment\r\n# comment = with value\r\n");

    let settings = Settings::parse(&text).unwrap();

    assert_eq!(settings.instance.name, "entry-1");
}

#[test]
fn an_unreadable_file_is_one_finding_that_names_it() {
    let found = Settings::read(Path::new("/nonexistent/entry.ini")).unwrap_err();

    assert_eq!(found.0.len(), 1);
    assert!(
        found
            .to_string()
            .starts_with("/nonexistent/entry.ini: could not read")
    );
}

#[test]
fn every_key_says_what_it_is_and_has_a_default_that_it_allows() {
    for key in KEYS {
        assert!(!key.about.is_empty() && !key.allowed.is_empty(), "{key:?}");
    }
    let listed: String = KEYS
        .iter()
        .filter_map(|key| Some((key, key.default?)))
        .fold(GOOD.to_owned(), |text, (key, default)| {
            let head = format!("[{}]\n", key.section);
            match text.contains(&head) {
                true => text.replace(&head, &format!("{head}{} = {default}\n", key.name)),
                false => format!("{text}{head}{} = {default}\n", key.name),
            }
        });
    Settings::parse(&listed).unwrap();
}
