//! The services file: services, versions, routes, accounts and the defaults of moves.

use std::path::Path;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::{SmolStr, format_smolstr};

use super::fields::{DURATION, Fields, NAME, has_kind, words};
use crate::admin::check;
use crate::config::{Account, Fencing, Kind, Repeat, Route, Service, Version, View};
use crate::settings::{Document, Findings, Section, value};

/// Answer time of a service that names none.
const TIMEOUT: Duration = Duration::from_secs(10);

const FORMS: &str = "[service NAME], [version SERVICE NAME], [route SERVICE NAME], \
                     [account NAME], [move SERVICE]";

/// What `move start` uses when its options are left out.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveDefaults {
    /// Time from the start by which a move must be done.
    pub finish_in: Duration,
    /// Largest share of requests before a move is done.
    pub max_share: f64,
}

/// A services file that has been checked.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Services by name.
    pub services: IndexMap<SmolStr, Service>,
    /// Accounts by name.
    pub accounts: IndexMap<SmolStr, Account>,
    /// Defaults of moves by service.
    pub moves: IndexMap<SmolStr, MoveDefaults>,
}

impl Plan {
    /// Whether a text looks like a services file rather than settings.
    #[must_use]
    pub fn is_plan(text: &str) -> bool {
        let document = Document::read(text, &mut Findings::default());
        let kinds = ["service", "version", "route", "account", "move"];
        kinds.iter().any(|kind| has_kind(&document, kind))
    }

    /// Parses and checks a services file.
    ///
    /// # Errors
    /// All findings, when there are any.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let document = Document::read(text, &mut findings);
        let mut plan = Self::default();
        for (title, section) in &document.sections {
            plan.open(title, section, &mut findings);
        }
        for (title, section) in &document.sections {
            plan.fill(title, section, &mut findings);
        }
        plan.check(&document, &mut findings);
        findings
            .or(Some(plan))
            .map_err(|findings| findings.in_file("services"))
    }

    /// Reads and checks a services file.
    ///
    /// # Errors
    /// All findings, when there are any, or one when the file could not be read.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let mut findings = Findings::default();
            findings.add(0, format!("could not read the file: {error}"), "");
            findings.in_file(&file)
        })?;
        Self::parse(&text).map_err(|findings| findings.in_file(&file))
    }

    /// Services come first, so that the order of the sections does not matter.
    fn open(&mut self, title: &str, section: &Section, findings: &mut Findings) {
        match title.split_whitespace().next() {
            Some("service") => {
                let name = words(title, section.line, "[service NAME]", findings);
                let service = read_service(title, section, findings);
                if let (Some([name]), Some(service)) = (name, service) {
                    self.services.insert(name, service);
                }
            }
            Some("version" | "route" | "account" | "move") => {}
            _ => findings.add(section.line, format!("unknown section [{title}]"), FORMS),
        }
    }

    fn fill(&mut self, title: &str, section: &Section, findings: &mut Findings) {
        match title.split_whitespace().next() {
            Some("version") => {
                let names = words(title, section.line, "[version SERVICE NAME]", findings);
                let version = read_version(title, section, findings);
                if let Some([service, name]) = names {
                    self.service(&service, section, findings, |service| {
                        service.versions.insert(name, version);
                    });
                }
            }
            Some("route") => {
                let names = words(title, section.line, "[route SERVICE NAME]", findings);
                let route = read_route(title, section, findings);
                if let (Some([service, _]), Some(route)) = (names, route) {
                    self.service(&service, section, findings, |service| {
                        service.routes.push(route);
                    });
                }
            }
            Some("move") => {
                let names = words(title, section.line, "[move SERVICE]", findings);
                let defaults = read_move(title, section, findings);
                if let Some([service]) = names {
                    self.service(&service, section, findings, |_| {});
                    self.moves.insert(service, defaults);
                }
            }
            Some("account") => {
                let names = words(title, section.line, "[account NAME]", findings);
                let account = read_account(title, section, findings);
                if let (Some([name]), Some(account)) = (names, account) {
                    self.accounts.insert(name, account);
                }
            }
            _ => {}
        }
    }

    fn service(
        &mut self,
        name: &str,
        section: &Section,
        findings: &mut Findings,
        change: impl FnOnce(&mut Service),
    ) {
        match self.services.get_mut(name) {
            Some(service) => change(service),
            None => {
                let known: Vec<_> = self.services.keys().map(SmolStr::as_str).collect();
                let message = format!("no service is named `{name}`");
                findings.add(section.line, message, known.join(", "));
            }
        }
    }

    fn check(&self, document: &Document, findings: &mut Findings) {
        for (name, service) in &self.services {
            for fault in check::service(name, service) {
                let line = place(document, name, &fault.at);
                let message = format!("service `{name}`: {}", fault.message);
                findings.add(line, message, fault.allowed);
            }
        }
        let mut view = View::default();
        for (name, account) in &self.accounts {
            let title = format!("account {name}");
            let line = document.sections.get(title.as_str()).map_or(0, |s| s.line);
            for fault in check::account(name, account, &view) {
                let message = format!("account `{name}`: {}", fault.message);
                findings.add(line, message, fault.allowed);
            }
            let digest = account.key_sha256.to_ascii_lowercase();
            view.keys.insert(digest.into(), name.clone());
        }
    }
}

/// Line of the field that a fault names.
fn place(document: &Document, service: &str, at: &str) -> usize {
    let (title, key) = match at.split('.').collect::<Vec<_>>()[..] {
        ["versions", version, ..] => (format_smolstr!("version {service} {version}"), "model"),
        ["routes", index, key] => (route_title(document, service, index), key),
        ["timeout_ms"] => (format_smolstr!("service {service}"), "timeout"),
        _ => (format_smolstr!("service {service}"), at),
    };
    let Some(section) = document.sections.get(&title) else {
        return 0;
    };
    section
        .keys
        .get(key)
        .map_or(section.line, |entry| entry.line)
}

fn route_title(document: &Document, service: &str, index: &str) -> SmolStr {
    let prefix = format!("route {service} ");
    let mut titles = document
        .sections
        .keys()
        .filter(|title| title.starts_with(&prefix));
    let index = index.parse().unwrap_or(usize::MAX);
    titles.nth(index).cloned().unwrap_or_default()
}

fn read_service(title: &str, section: &Section, findings: &mut Findings) -> Option<Service> {
    let mut fields = Fields::new(title, section, findings);
    let kind = fields.need("kind", "generation or plain", kind);
    let version = fields.need("version", NAME, value::name);
    let fencing = fields.or("fencing", Fencing::Ignored, "checked or ignored", fencing);
    let timeout = fields.or("timeout", TIMEOUT, DURATION, value::duration);
    fields.end();
    Some(Service {
        kind: kind?,
        version: version?,
        versions: IndexMap::new(),
        routes: Vec::new(),
        fencing,
        timeout_ms: timeout.as_millis() as u64,
    })
}

fn read_version(title: &str, section: &Section, findings: &mut Findings) -> Version {
    let mut fields = Fields::new(title, section, findings);
    let model = fields.or("model", SmolStr::default(), "a model's name", |text| {
        Some(text.into())
    });
    fields.end();
    Version {
        model,
        ..Version::default()
    }
}

fn read_route(title: &str, section: &Section, findings: &mut Findings) -> Option<Route> {
    let text = |text: &str| Some(SmolStr::new(text));
    let mut fields = Fields::new(title, section, findings);
    let method = fields.or(
        "method",
        "*".into(),
        "`*` or upper case, such as POST",
        text,
    );
    let path = fields.need("path", "a path prefix such as /deposits", text);
    let repeat = fields.need("repeat", "safe or never", repeat);
    let status = fields.or("status", None, "a path such as /deposits/status", |t| {
        Some(text(t))
    });
    fields.end();
    Some(Route {
        method,
        path: path?,
        repeat: repeat?,
        status,
    })
}

fn read_account(title: &str, section: &Section, findings: &mut Findings) -> Option<Account> {
    let number = |text: &str| text.parse().ok();
    let mut fields = Fields::new(title, section, findings);
    let key = fields.need(
        "key_sha256",
        "64 hex digits: the SHA-256 of the key",
        value::sha256,
    );
    let weight = fields.or("weight", 1, "1 to 10000", number);
    let concurrency = fields.or("concurrency", 256, "1 or more", number);
    fields.end();
    Some(Account {
        key_sha256: key?,
        weight,
        concurrency,
    })
}

fn read_move(title: &str, section: &Section, findings: &mut Findings) -> MoveDefaults {
    let share = |text: &str| {
        text.parse()
            .ok()
            .filter(|share| *share > 0.0 && *share <= 1.0)
    };
    let hour = Duration::from_secs(3600);
    let mut fields = Fields::new(title, section, findings);
    let finish_in = fields.or("finish_in", hour, DURATION, value::duration);
    let max_share = fields.or("max_share", 0.5, "above 0 and at most 1", share);
    fields.end();
    MoveDefaults {
        finish_in,
        max_share,
    }
}

pub(crate) fn kind(text: &str) -> Option<Kind> {
    match text {
        "generation" => Some(Kind::Generation),
        "plain" => Some(Kind::Plain),
        _ => None,
    }
}

pub(crate) fn fencing(text: &str) -> Option<Fencing> {
    match text {
        "checked" => Some(Fencing::Checked),
        "ignored" => Some(Fencing::Ignored),
        _ => None,
    }
}

fn repeat(text: &str) -> Option<Repeat> {
    match text {
        "safe" => Some(Repeat::Safe),
        "never" => Some(Repeat::Never),
        _ => None,
    }
}
