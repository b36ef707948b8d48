//! Typed reading of one section whose name carries words, such as `[version drafting v1]`.

use smol_str::SmolStr;

use crate::settings::{Document, Findings, Section, value};

pub(crate) const NAME: &str = "1 to 64 letters, digits, `-`, `_` or `.`";
pub(crate) const DURATION: &str = "a whole number above 0 and ms, s, m or h, such as 250ms";

/// The keys of one section.
pub(crate) struct Fields<'a> {
    title: &'a str,
    section: &'a Section,
    findings: &'a mut Findings,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(title: &'a str, section: &'a Section, findings: &'a mut Findings) -> Self {
        Self {
            title,
            section,
            findings,
            known: Vec::new(),
        }
    }

    /// A value, or its default when the key is left out.
    pub(crate) fn or<T>(
        &mut self,
        key: &'static str,
        default: T,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        match self.section.keys.contains_key(key) {
            true => self.need(key, allowed, parse).unwrap_or(default),
            false => {
                self.known.push(key);
                default
            }
        }
    }

    /// A value that must be given.
    pub(crate) fn need<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let Some(entry) = self.section.keys.get(key) else {
            let message = format!("`{key}` is missing in [{}]", self.title);
            self.findings.add(self.section.line, message, allowed);
            return None;
        };
        let parsed = parse(&entry.text);
        if parsed.is_none() {
            let message = format!("bad value `{}` of `{key}`", entry.text);
            self.findings.add(entry.line, message, allowed);
        }
        parsed
    }

    /// Finds the keys that nothing has asked for.
    pub(crate) fn end(self) {
        for (key, entry) in &self.section.keys {
            if !self.known.contains(&key.as_str()) {
                let message = format!("unknown key `{key}` in [{}]", self.title);
                self.findings
                    .add(entry.line, message, self.known.join(", "));
            }
        }
    }
}

/// The words of a section's name, where each is a name.
pub(crate) fn words<const N: usize>(
    title: &str,
    line: usize,
    form: &str,
    findings: &mut Findings,
) -> Option<[SmolStr; N]> {
    let words: Vec<_> = title.split_whitespace().skip(1).map(value::name).collect();
    let words: Option<Vec<_>> = words.into_iter().collect();
    let words = words.and_then(|words| <[SmolStr; N]>::try_from(words).ok());
    if words.is_none() {
        findings.add(line, format!("bad section [{title}]"), form);
    }
    words
}

/// A list of names, separated by commas.
pub(crate) fn names(text: &str) -> Option<Vec<SmolStr>> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(value::name).collect()
}

/// Whether any section is of this kind, that is, its name begins with this word.
pub(crate) fn has_kind(document: &Document, kind: &str) -> bool {
    let mut titles = document.sections.keys();
    titles.any(|title| title.split_whitespace().next() == Some(kind))
}
