//! The answers of the questionnaire, as an INI file.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::fields::{DURATION, Fields, NAME, names, words};
use super::plan;
use crate::config::{Fencing, Kind};
use crate::settings::{Document, Findings, Section, value};

const FORMS: &str = "[platform], [place DOMAIN], [workload SERVICE], [accounts], [risk]";
const CALLS: &str = "methods and paths separated by commas, such as POST /deposits, GET /";

/// A failure domain with entry instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: SmolStr,
    /// IP addresses of its entry instances.
    pub entries: Vec<IpAddr>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// What its targets are.
    pub kind: Kind,
    /// Version that runs today.
    pub version: SmolStr,
    /// Model of that version; empty for plain services.
    pub model: SmolStr,
    /// Longest time that one request takes.
    pub longest: Duration,
    /// Largest request body in bytes.
    pub largest: usize,
    /// Whether its targets check fencing numbers.
    pub fencing: Fencing,
    /// Calls that may not be repeated.
    pub never: Vec<Call>,
    /// Calls that may be repeated.
    pub safe: Vec<Call>,
    /// Path that tells the outcome of a call by its key.
    pub status: Option<SmolStr>,
}

/// A method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: SmolStr,
    /// Path prefix.
    pub path: SmolStr,
}

/// How much harm a bad version may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tolerance {
    /// A small share is tried for long.
    Low,
    /// A quarter.
    Medium,
    /// Half.
    High,
}

/// Risk and deadlines of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Risk {
    /// How much harm a bad version may do.
    pub tolerance: Tolerance,
    /// Time by which a move must be done.
    pub finish: Duration,
}

/// All answers.
#[derive(Clone, Debug)]
pub struct Answers {
    /// The platform's address.
    pub platform: SocketAddr,
    /// Places by failure domain.
    pub places: IndexMap<SmolStr, Place>,
    /// Workloads by service.
    pub workloads: IndexMap<SmolStr, Workload>,
    /// Accounts that send much.
    pub large: Vec<SmolStr>,
    /// Other accounts.
    pub small: Vec<SmolStr>,
    /// Risk.
    pub risk: Risk,
}

impl Answers {
    /// Parses a file of answers.
    ///
    /// # Errors
    /// All findings, when there are any.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        check(text).map_err(|findings| findings.in_file("answers"))
    }

    /// Reads a file of answers.
    ///
    /// # Errors
    /// All findings, when there are any, or one when the file could not be read.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let outcome = match std::fs::read_to_string(path) {
            Ok(text) => check(&text),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add(0, format!("could not read the file: {error}"), "");
                Err(findings)
            }
        };
        outcome.map_err(|findings| findings.in_file(&path.display().to_string()))
    }
}

fn check(text: &str) -> Result<Answers, Findings> {
    let mut findings = Findings::default();
    let document = Document::read(text, &mut findings);
    let mut places = IndexMap::new();
    let mut workloads = IndexMap::new();
    for (title, section) in &document.sections {
        match title.split_whitespace().next() {
            Some("platform" | "accounts" | "risk") => {}
            Some("place") => {
                let name = words(title, section.line, "[place DOMAIN]", &mut findings);
                let place = read_place(title, section, &mut findings);
                if let (Some([name]), Some(place)) = (name, place) {
                    places.insert(name, place);
                }
            }
            Some("workload") => {
                let name = words(title, section.line, "[workload SERVICE]", &mut findings);
                let workload = read_workload(title, section, &mut findings);
                if let (Some([name]), Some(workload)) = (name, workload) {
                    workloads.insert(name, workload);
                }
            }
            _ => findings.add(section.line, format!("unknown section [{title}]"), FORMS),
        }
    }
    for (kind, found) in [
        ("place", places.is_empty()),
        ("workload", workloads.is_empty()),
    ] {
        if found && !super::fields::has_kind(&document, kind) {
            findings.add(0, format!("no [{kind} NAME] section"), "at least one");
        }
    }
    let platform = read_platform(&document, &mut findings);
    let accounts = read_accounts(&document, &mut findings);
    let risk = read_risk(&document, &mut findings);
    let answers = platform
        .zip(accounts)
        .map(|(platform, (large, small))| Answers {
            platform,
            places,
            workloads,
            large,
            small,
            risk,
        });
    findings.or(answers)
}

fn read_platform(document: &Document, findings: &mut Findings) -> Option<SocketAddr> {
    let section = section(document, "platform");
    let mut fields = Fields::new("platform", &section, findings);
    let addr = fields.need("addr", "an IP address and port", |text| text.parse().ok());
    fields.end();
    addr
}

fn read_accounts(
    document: &Document,
    findings: &mut Findings,
) -> Option<(Vec<SmolStr>, Vec<SmolStr>)> {
    let section = section(document, "accounts");
    let list = "names separated by commas";
    let mut fields = Fields::new("accounts", &section, findings);
    let large = fields.or("large", Some(Vec::new()), list, |text| {
        names(text).map(Some)
    });
    let small = fields.or("small", Some(Vec::new()), list, |text| {
        names(text).map(Some)
    });
    fields.end();
    let (large, small) = (large?, small?);
    match large.iter().find(|name| small.contains(name)) {
        Some(name) => {
            let message = format!("account `{name}` is both large and small");
            findings.add(section.line, message, "each account once");
            None
        }
        None if large.is_empty() && small.is_empty() => {
            findings.add(
                section.line,
                "no accounts",
                "at least one in `large` or `small`",
            );
            None
        }
        None => Some((large, small)),
    }
}

fn read_risk(document: &Document, findings: &mut Findings) -> Risk {
    let section = section(document, "risk");
    let hours = Duration::from_secs(6 * 3600);
    let mut fields = Fields::new("risk", &section, findings);
    let tolerance = fields.or(
        "tolerance",
        Tolerance::Low,
        "low, medium or high",
        tolerance,
    );
    let finish = fields.or("finish", hours, DURATION, value::duration);
    fields.end();
    Risk { tolerance, finish }
}

fn read_place(title: &str, section: &Section, findings: &mut Findings) -> Option<Place> {
    let mut fields = Fields::new(title, section, findings);
    let region = fields.need("region", NAME, value::name);
    let entries = fields.need("entries", "IP addresses separated by commas", addresses);
    fields.end();
    Some(Place {
        region: region?,
        entries: entries?,
    })
}

fn read_workload(title: &str, section: &Section, findings: &mut Findings) -> Option<Workload> {
    let minute = Duration::from_secs(60);
    let text = |text: &str| Some(SmolStr::new(text));
    let mut fields = Fields::new(title, section, findings);
    let kind = fields.need("kind", "generation or plain", plan::kind);
    let version = fields.or("version", "v1".into(), NAME, value::name);
    let model = fields.or("model", SmolStr::default(), "a model's name", text);
    let longest = fields.or("longest", minute, DURATION, value::duration);
    let largest = fields.or("largest", 4 << 20, "a size such as 4MiB", value::bytes);
    let fencing = fields.or(
        "fencing",
        Fencing::Ignored,
        "checked or ignored",
        plan::fencing,
    );
    let never = fields.or("never", Vec::new(), CALLS, calls);
    let safe = fields.or("safe", Vec::new(), CALLS, calls);
    let status = fields.or("status", None, "a path", |t| Some(text(t)));
    fields.end();
    match kind {
        Some(Kind::Generation) if model.is_empty() => {
            let message = format!("`model` is missing in [{title}]");
            findings.add(section.line, message, "the model that its engines load");
        }
        Some(Kind::Generation) if !(never.is_empty() && safe.is_empty()) => {
            let message = format!("[{title}] is a generation and has no calls");
            findings.add(section.line, message, "neither `never` nor `safe`");
        }
        _ => {}
    }
    Some(Workload {
        kind: kind?,
        version,
        model,
        longest,
        largest,
        fencing,
        never,
        safe,
        status,
    })
}

fn section(document: &Document, name: &str) -> Section {
    document.sections.get(name).cloned().unwrap_or_default()
}

pub(crate) fn tolerance(text: &str) -> Option<Tolerance> {
    match text {
        "low" => Some(Tolerance::Low),
        "medium" => Some(Tolerance::Medium),
        "high" => Some(Tolerance::High),
        _ => None,
    }
}

pub(crate) fn addresses(text: &str) -> Option<Vec<IpAddr>> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let all: Option<Vec<_>> = parts.map(|part| part.parse().ok()).collect();
    all.filter(|all| !all.is_empty())
}

pub(crate) fn calls(text: &str) -> Option<Vec<Call>> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(call).collect()
}

fn call(text: &str) -> Option<Call> {
    let (method, path) = text.split_once(' ')?;
    let upper = method == "*" || method.chars().all(|c| c.is_ascii_uppercase());
    let path = path.trim();
    (upper && path.starts_with('/')).then(|| Call {
        method: method.into(),
        path: path.into(),
    })
}
