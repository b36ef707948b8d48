//! From answers to files.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt as _;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, format_smolstr};

use super::answers::{Answers, Tolerance};
use super::render;

/// Weight of an account that sends much, against 1.
pub(crate) const LARGE_WEIGHT: u32 = 4;

/// Most requests at once of a large and of a small account.
pub(crate) const CONCURRENCY: [u32; 2] = [256, 64];

/// Least time that a stop waits for running requests.
const LEAST_DRAIN: Duration = Duration::from_secs(30);

/// Least body limit in bytes.
const LEAST_BODY: usize = 4 << 20;

const KEY_BYTES: usize = 32;

/// A generated file.
#[derive(Clone, Debug)]
pub struct File {
    /// Its name within the output directory.
    pub name: SmolStr,
    /// Its text.
    pub text: String,
    /// Whether only its owner may read it.
    pub secret: bool,
}

/// What the templates need besides the answers.
pub(crate) struct Derived {
    pub(crate) peer_key: String,
    pub(crate) operator: String,
    pub(crate) accounts: IndexMap<SmolStr, String>,
    pub(crate) drain: Duration,
    pub(crate) body: usize,
    pub(crate) max_share: f64,
}

/// Settings of each entry instance, one services file and the new keys.
#[must_use]
pub fn generate(answers: &Answers) -> Vec<File> {
    let derived = derive(answers);
    let mut files = Vec::new();
    for (domain, place) in &answers.places {
        for (i, addr) in place.entries.iter().enumerate() {
            let name = format_smolstr!("entry-{domain}-{}", i + 1);
            files.push(File {
                text: render::settings(&name, domain, *addr, answers, &derived),
                name: format_smolstr!("{name}.ini"),
                secret: true,
            });
        }
    }
    files.push(File {
        name: "services.ini".into(),
        text: render::services(answers, &derived),
        secret: false,
    });
    files.push(File {
        name: "keys.txt".into(),
        text: render::keys(&derived),
        secret: true,
    });
    files
}

fn derive(answers: &Answers) -> Derived {
    let longest = answers.workloads.values().map(|workload| workload.longest);
    let largest = answers.workloads.values().map(|workload| workload.largest);
    let names = answers.large.iter().chain(&answers.small);
    Derived {
        peer_key: new_key(),
        operator: new_key(),
        accounts: names.map(|name| (name.clone(), new_key())).collect(),
        drain: longest.max().unwrap_or_default().max(LEAST_DRAIN),
        body: largest.max().unwrap_or_default().max(LEAST_BODY),
        max_share: match answers.risk.tolerance {
            Tolerance::Low => 0.05,
            Tolerance::Medium => 0.25,
            Tolerance::High => 0.5,
        },
    }
}

fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    hex::encode(bytes)
}

/// What a file may show of a key.
pub(crate) fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}
