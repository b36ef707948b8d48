//! Findings about an input file, each with its place.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// One fault of an input file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// File, as the user named it.
    pub file: SmolStr,
    /// Line from 1, or 0 for the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub message: SmolStr,
    /// What would be accepted.
    pub allowed: SmolStr,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message)?,
            line => write!(f, "{}:{line}: {}", self.file, self.message)?,
        }
        match self.allowed.as_str() {
            "" => Ok(()),
            allowed => write!(f, "; allowed: {allowed}"),
        }
    }
}

/// All faults of one input file, ordered by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding; its file is named later by [`Findings::in_file`].
    pub(crate) fn add(
        &mut self,
        line: usize,
        message: impl Into<SmolStr>,
        allowed: impl Into<SmolStr>,
    ) {
        self.0.push(Finding {
            file: SmolStr::default(),
            line,
            message: message.into(),
            allowed: allowed.into(),
        });
    }

    /// Names the file of every finding and orders them by line.
    #[must_use]
    pub(crate) fn in_file(mut self, file: &str) -> Self {
        for finding in &mut self.0 {
            finding.file = file.into();
        }
        self.0.sort_by_key(|finding| finding.line);
        self
    }

    /// `value`, when nothing was found.
    pub(crate) fn or<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
