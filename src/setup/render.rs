//! Text of the generated files.

use std::fmt::Write as _;
use std::net::IpAddr;
use std::time::Duration;

use super::answers::{Answers, Workload};
use super::generate::{CONCURRENCY, Derived, LARGE_WEIGHT, digest};
use crate::config::{Fencing, Kind};
use crate::settings::{KEYS, Key};

/// Ports of an entry instance for callers, operators and peers.
const PORTS: [u16; 3] = [8080, 8081, 8082];

/// Settings of one entry instance, each key with what it means and may be.
pub(crate) fn settings(
    name: &str,
    domain: &str,
    addr: IpAddr,
    answers: &Answers,
    derived: &Derived,
) -> String {
    let region = &answers.places[domain].region;
    let seeds = answers.places.values().flat_map(|place| &place.entries);
    let seeds: Vec<_> = seeds
        .filter(|other| **other != addr)
        .map(|other| at(*other, PORTS[2]))
        .collect();
    let value = |key: &Key| match (key.section, key.name) {
        ("instance", "name") => name.to_owned(),
        ("instance", "domain") => domain.to_owned(),
        ("instance", "region") => region.to_string(),
        ("listen", "caller") => at(addr, PORTS[0]),
        ("listen", "admin") => at(addr, PORTS[1]),
        ("listen", "peer") => at(addr, PORTS[2]),
        ("platform", "addr") => answers.platform.to_string(),
        ("peers", "key") => derived.peer_key.clone(),
        ("peers", "seeds") => seeds.join(", "),
        ("limits", "body") => size(derived.body),
        ("drain", "timeout") => span(derived.drain),
        _ => key.default.unwrap_or_default().to_owned(),
    };
    let mut text = format!("; Settings of {name}. It holds the peer key: keep it to its owner.\n");
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            let _ = write!(text, "\n[{section}]\n");
        }
        let _ = writeln!(text, "; {}. Allowed: {}.", key.about, key.allowed);
        let _ = writeln!(text, "{} = {}", key.name, value(key));
    }
    let _ = write!(
        text,
        "\n; Operators: a name, and the SHA-256 of the operator's key in hex.\n\
         [operators]\nfirst = {}\n",
        digest(&derived.operator)
    );
    text
}

/// The services file.
pub(crate) fn services(answers: &Answers, derived: &Derived) -> String {
    let mut text = String::from(
        "; Services, their versions and routes, accounts, and the defaults of moves.\n\
         ; `endivefork check FILE` checks it, `endivefork apply FILE` puts it in force.\n",
    );
    for (name, workload) in &answers.workloads {
        service(&mut text, name, workload);
        let _ = write!(
            text,
            "\n; A new version gets at most this share before it is done, and must be done in time.\n\
             ; endivefork move start {name} --to NEW --plan THIS-FILE\n\
             [move {name}]\nfinish_in = {}\nmax_share = {}\n",
            span(answers.risk.finish),
            derived.max_share
        );
    }
    text.push_str("\n; Accounts: the key's SHA-256, the weight in the fair shares, and the most\n; requests at once.\n");
    for (name, key) in &derived.accounts {
        let (weight, concurrency) = match answers.large.contains(name) {
            true => (LARGE_WEIGHT, CONCURRENCY[0]),
            false => (1, CONCURRENCY[1]),
        };
        let _ = write!(
            text,
            "[account {name}]\nkey_sha256 = {}\nweight = {weight}\nconcurrency = {concurrency}\n\n",
            digest(key)
        );
    }
    text
}

/// The new keys, to be handed out and then deleted.
pub(crate) fn keys(derived: &Derived) -> String {
    let mut text = String::from(
        "; Hand these keys to their owners, then delete this file: nothing needs it.\n",
    );
    let _ = writeln!(text, "operator first = {}", derived.operator);
    for (name, key) in &derived.accounts {
        let _ = writeln!(text, "account {name} = {key}");
    }
    text
}

fn service(text: &mut String, name: &str, workload: &Workload) {
    let kind = match workload.kind {
        Kind::Generation => "generation",
        Kind::Plain => "plain",
    };
    let fencing = match workload.fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    };
    let version = &workload.version;
    let _ = write!(
        text,
        "\n; kind: generation or plain. version: carries the traffic until a move is done.\n\
         ; fencing: whether targets check the fencing number of an order.\n\
         [service {name}]\nkind = {kind}\nversion = {version}\nfencing = {fencing}\n"
    );
    if workload.kind == Kind::Plain {
        let longest = span(workload.longest);
        let _ = write!(
            text,
            "; a call without an answer for so long counts as lost\ntimeout = {longest}\n"
        );
    }
    let _ = write!(text, "\n[version {name} {version}]\n");
    if workload.kind == Kind::Generation {
        let _ = writeln!(text, "model = {}", workload.model);
        return;
    }
    routes(text, name, workload);
}

fn routes(text: &mut String, name: &str, workload: &Workload) {
    text.push_str("\n; Routes: the first that matches decides whether a call may be repeated.\n");
    let never = workload.never.iter().map(|call| (call, "never"));
    let safe = workload.safe.iter().map(|call| (call, "safe"));
    for (i, (call, repeat)) in never.chain(safe).enumerate() {
        let _ = write!(
            text,
            "[route {name} {}]\nmethod = {}\npath = {}\nrepeat = {repeat}\n",
            i + 1,
            call.method,
            call.path
        );
        match &workload.status {
            Some(status) if repeat == "never" => {
                let _ = writeln!(text, "status = {status}");
            }
            _ => {}
        }
    }
}

fn at(addr: IpAddr, port: u16) -> String {
    std::net::SocketAddr::new(addr, port).to_string()
}

fn span(time: Duration) -> String {
    match time.as_millis() {
        ms if ms % 3_600_000 == 0 => format!("{}h", ms / 3_600_000),
        ms if ms % 60_000 == 0 => format!("{}m", ms / 60_000),
        ms if ms % 1_000 == 0 => format!("{}s", ms / 1_000),
        ms => format!("{ms}ms"),
    }
}

fn size(bytes: usize) -> String {
    match bytes {
        bytes if bytes.is_multiple_of(1 << 20) => format!("{}MiB", bytes >> 20),
        bytes if bytes.is_multiple_of(1 << 10) => format!("{}KiB", bytes >> 10),
        bytes => format!("{bytes}B"),
    }
}
