//! An INI file as sections of keys, with the line of each.

use indexmap::IndexMap;
use ini_core::{Item, Parser};
use smol_str::{SmolStr, format_smolstr};

use super::Findings;

/// A value and its place.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) text: SmolStr,
    pub(crate) line: usize,
}

/// The keys of one section.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    pub(crate) line: usize,
    pub(crate) keys: IndexMap<SmolStr, Entry>,
}

/// All sections of a file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Document {
    pub(crate) sections: IndexMap<SmolStr, Section>,
}

impl Document {
    /// Reads `text` line by line; faults of form and duplicates go to `findings`.
    pub(crate) fn read(text: &str, findings: &mut Findings) -> Self {
        let mut document = Self::default();
        let mut section = None;
        for (i, line) in text.lines().enumerate() {
            for item in Parser::new(line.trim()) {
                document.apply(i + 1, item, &mut section, findings);
            }
        }
        document
    }

    /// The entry of a key, if it is there.
    pub(crate) fn get(&self, section: &str, key: &str) -> Option<&Entry> {
        self.sections.get(section)?.keys.get(key)
    }

    fn apply(
        &mut self,
        line: usize,
        item: Item<'_>,
        section: &mut Option<SmolStr>,
        findings: &mut Findings,
    ) {
        match item {
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            Item::Property(key, _) if key.trim_start().starts_with('#') => {}
            Item::Error(_) => findings.add(line, "malformed section header", "[section]"),
            Item::Section(name) => *section = Some(self.open(line, name.trim(), findings)),
            Item::Property(_, None) => findings.add(line, "line without a value", "key = value"),
            Item::Property(key, Some(value)) => match section {
                Some(name) => self.put(line, name, key.trim(), value.trim(), findings),
                None => findings.add(
                    line,
                    format!("key `{}` stands before any section", key.trim()),
                    "[section] first",
                ),
            },
        }
    }

    fn open(&mut self, line: usize, name: &str, findings: &mut Findings) -> SmolStr {
        let name = SmolStr::new(name);
        match self.sections.get(&name) {
            Some(first) => findings.add(
                line,
                format!(
                    "section [{name}] stands twice, first on line {}",
                    first.line
                ),
                "each section once",
            ),
            None => {
                let section = Section {
                    line,
                    keys: IndexMap::new(),
                };
                self.sections.insert(name.clone(), section);
            }
        }
        name
    }

    fn put(&mut self, line: usize, section: &str, key: &str, value: &str, findings: &mut Findings) {
        let keys = &mut self.sections.entry(section.into()).or_default().keys;
        match keys.get(key) {
            Some(first) => findings.add(
                line,
                format_smolstr!(
                    "`{section}.{key}` stands twice, first on line {}",
                    first.line
                ),
                "each key once",
            ),
            None => {
                let entry = Entry {
                    text: value.into(),
                    line,
                };
                keys.insert(key.into(), entry);
            }
        }
    }
}
