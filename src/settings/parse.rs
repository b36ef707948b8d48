//! From INI text to checked settings.

use std::net::SocketAddr;
use std::path::Path;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::ini::Document;
use super::key::{DIGEST, KEYS, Key, OPERATORS};
use super::{Findings, Identity, Limits, Listen, Log, Peers, Platform, Secret, Settings, value};

/// Name of the file where only its text is known.
const UNNAMED: &str = "settings";

/// Keys whose values must not appear in a finding.
const SECRETS: &[(&str, &str)] = &[("peers", "key")];

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// All findings, when there are any.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        check(text).map_err(|findings| findings.in_file(UNNAMED))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// All findings, when there are any, or one when the file could not be read.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let outcome = match std::fs::read_to_string(path) {
            Ok(text) => check(&text),
            Err(error) => {
                let mut findings = Findings::default();
                findings.add(0, format!("could not read the file: {error}"), "");
                Err(findings)
            }
        };
        outcome.map_err(|findings| findings.in_file(&file))
    }
}

fn check(text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let document = Document::read(text, &mut findings);
    find_unknown(&document, &mut findings);
    let mut reader = Reader {
        document: &document,
        findings,
    };
    let settings = reader.settings();
    if let Some(settings) = &settings {
        reader.contradictions(settings);
    }
    reader.findings.or(settings)
}

fn find_unknown(document: &Document, findings: &mut Findings) {
    for (name, section) in &document.sections {
        if name == OPERATORS {
            continue;
        }
        let known: Vec<_> = names(KEYS.iter().filter(|key| key.section == name), |k| k.name);
        if known.is_empty() {
            let mut sections = names(KEYS.iter(), |k| k.section);
            sections.push(OPERATORS);
            let allowed = sections.join(", ");
            findings.add(section.line, format!("unknown section [{name}]"), allowed);
            continue;
        }
        for (key, entry) in &section.keys {
            if !known.contains(&key.as_str()) {
                let message = format!("unknown key `{name}.{key}`");
                findings.add(entry.line, message, known.join(", "));
            }
        }
    }
}

fn names(
    keys: impl Iterator<Item = &'static Key>,
    name: fn(&Key) -> &'static str,
) -> Vec<&'static str> {
    let mut names: Vec<_> = keys.map(name).collect();
    names.dedup();
    names
}

struct Reader<'a> {
    document: &'a Document,
    findings: Findings,
}

impl Reader<'_> {
    /// Reads every key before any is missed, so that all findings come together.
    fn settings(&mut self) -> Option<Settings> {
        let instance = self.identity();
        let listen = self.listen();
        let platform = self.platform();
        let peers = self.peers();
        let operators = self.operators();
        let limits = self.limits();
        let log = self.log();
        let drain = self.take("drain", "timeout", value::duration);
        Some(Settings {
            instance: instance?,
            listen: listen?,
            platform: platform?,
            peers: peers?,
            operators,
            limits: limits?,
            log: log?,
            drain: drain?,
        })
    }

    fn identity(&mut self) -> Option<Identity> {
        let name = self.take("instance", "name", value::name);
        let domain = self.take("instance", "domain", value::name);
        let region = self.take("instance", "region", value::name);
        Some(Identity {
            name: name?,
            domain: domain?,
            region: region?,
        })
    }

    fn listen(&mut self) -> Option<Listen> {
        let caller = self.take("listen", "caller", parse_addr);
        let admin = self.take("listen", "admin", parse_addr);
        let peer = self.take("listen", "peer", parse_addr);
        Some(Listen {
            caller: caller?,
            admin: admin?,
            peer: peer?,
        })
    }

    fn platform(&mut self) -> Option<Platform> {
        let target = |text: &str| parse_addr(text).filter(|addr| addr.port() != 0);
        let addr = self.take("platform", "addr", target);
        let timeout = self.take("platform", "timeout", value::duration);
        let poll = self.take("platform", "poll", value::duration);
        Some(Platform {
            addr: addr?,
            timeout: timeout?,
            poll: poll?,
        })
    }

    fn peers(&mut self) -> Option<Peers> {
        let secret = |text: &str| (!text.is_empty()).then(|| Secret(text.into()));
        let key = self.take("peers", "key", secret);
        let heartbeat = self.take("peers", "heartbeat", value::duration);
        let seeds = self.take("peers", "seeds", parse_addrs);
        let advertise = self.take("peers", "advertise", parse_optional);
        Some(Peers {
            key: key?,
            heartbeat: heartbeat?,
            seeds: seeds?,
            advertise: advertise?,
        })
    }

    fn limits(&mut self) -> Option<Limits> {
        let headers = self.take("limits", "headers", value::bytes);
        let body = self.take("limits", "body", value::bytes);
        let receive = self.take("limits", "receive", value::duration);
        let idle = self.take("limits", "idle", value::duration);
        let connections = self.take("limits", "connections", value::count);
        Some(Limits {
            headers: headers?,
            body: body?,
            receive: receive?,
            idle: idle?,
            connections: connections?,
        })
    }

    fn log(&mut self) -> Option<Log> {
        let format = self.take("log", "format", value::format);
        let level = self.take("log", "level", value::level);
        Some(Log {
            format: format?,
            level: level?,
        })
    }

    fn operators(&mut self) -> IndexMap<SmolStr, SmolStr> {
        let Some(section) = self.document.sections.get(OPERATORS) else {
            return IndexMap::new();
        };
        let mut keys = IndexMap::new();
        let mut owners: IndexMap<SmolStr, SmolStr> = IndexMap::new();
        for (name, entry) in &section.keys {
            match value::sha256(&entry.text) {
                None => self.findings.add(
                    entry.line,
                    format!("`operators.{name}` is not a digest"),
                    DIGEST,
                ),
                Some(digest) => match owners.insert(digest.clone(), name.clone()) {
                    Some(other) => self.findings.add(
                        entry.line,
                        format!("operators `{other}` and `{name}` have the same key"),
                        "one key for each operator",
                    ),
                    None => {
                        keys.insert(name.clone(), digest);
                    }
                },
            }
        }
        keys
    }

    fn contradictions(&mut self, settings: &Settings) {
        let platform = &settings.platform;
        if platform.poll < platform.timeout {
            self.findings.add(
                self.line("platform", "poll")
                    .max(self.line("platform", "timeout")),
                "`platform.poll` is shorter than `platform.timeout`",
                "poll at least as long as timeout",
            );
        }
        let listen = &settings.listen;
        let pairs = [
            ("caller", listen.caller, "admin", listen.admin),
            ("caller", listen.caller, "peer", listen.peer),
            ("admin", listen.admin, "peer", listen.peer),
        ];
        for (one, a, other, b) in pairs {
            if overlaps(a, b) {
                self.findings.add(
                    self.line("listen", other),
                    format!("`listen.{one}` and `listen.{other}` are the same address"),
                    "three addresses that differ, or port 0",
                );
            }
        }
        if settings.peers.seeds.contains(&listen.peer) {
            self.findings.add(
                self.line("peers", "seeds"),
                "`peers.seeds` names this instance's own address",
                "addresses of other instances",
            );
        }
    }

    fn line(&self, section: &str, key: &str) -> usize {
        self.document
            .get(section, key)
            .map_or(0, |entry| entry.line)
    }

    /// Parses the value of a key or its default.
    fn take<T>(
        &mut self,
        section: &str,
        name: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let key = KEYS
            .iter()
            .find(|key| key.section == section && key.name == name)
            .expect("every key that is read is listed");
        match (self.document.get(section, name), key.default) {
            (Some(entry), _) => {
                let value = parse(&entry.text);
                if value.is_none() {
                    let line = entry.line;
                    self.findings
                        .add(line, bad(section, name, &entry.text), key.allowed);
                }
                value
            }
            (None, Some(default)) => parse(default),
            (None, None) => {
                let line = self.document.sections.get(section).map_or(0, |s| s.line);
                let message = format!("`{section}.{name}` is missing");
                self.findings.add(line, message, key.allowed);
                None
            }
        }
    }
}

fn bad(section: &str, name: &str, text: &str) -> String {
    match text {
        "" => format!("`{section}.{name}` is empty"),
        _ if SECRETS.contains(&(section, name)) => format!("bad value of `{section}.{name}`"),
        _ => format!("bad value `{text}` of `{section}.{name}`"),
    }
}

fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_host
}

fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_optional(text: &str) -> Option<Option<SocketAddr>> {
    match text {
        "" => Some(None),
        text => parse_addr(text).map(Some),
    }
}

fn parse_addrs(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(parse_addr)
        .collect()
}
