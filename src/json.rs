//! Splits JSON text into the parts of an array or object without decoding them, so that a part that
//! can't be decoded does not affect the others.
//!
//! Parts are found by quotes and brackets only. Nothing recurses: the depth of a part is bounded by
//! its size, and is first checked when it is decoded.

use serde::de::DeserializeOwned;

/// Name and text of a field of an object.
pub type Field<'a> = (&'a [u8], &'a [u8]);

/// Why text could not be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// The text begins with something else.
    #[error("expected `{}` at byte {at}", char::from(*.expected))]
    Expected {
        /// The expected byte.
        expected: u8,
        /// Position in the text.
        at: usize,
    },
    /// The text ended inside a part.
    #[error("the text ended early")]
    Ended,
    /// A required field is missing.
    #[error("missing field `{0}`")]
    Missing(&'static str),
}

/// The texts of the elements of an array.
///
/// # Errors
/// When `text` is no array whose strings and brackets are closed.
pub fn elements(text: &[u8]) -> Result<Vec<&[u8]>, SplitError> {
    let mut scan = Scan { text, at: 0 };
    let mut found = Vec::new();
    scan.expect(b'[')?;
    if !scan.take(b']') {
        loop {
            found.push(scan.part()?);
            if !scan.take(b',') {
                break;
            }
        }
        scan.expect(b']')?;
    }
    scan.end().map(|()| found)
}

/// The names and the texts of the fields of an object, in order. Names are as written, without
/// decoding of escapes.
///
/// # Errors
/// When `text` is no object whose strings and brackets are closed.
pub fn fields(text: &[u8]) -> Result<Vec<Field<'_>>, SplitError> {
    let mut scan = Scan { text, at: 0 };
    let mut found = Vec::new();
    scan.expect(b'{')?;
    if !scan.take(b'}') {
        loop {
            let name = scan.string()?;
            scan.expect(b':')?;
            found.push((name, scan.part()?));
            if !scan.take(b',') {
                break;
            }
        }
        scan.expect(b'}')?;
    }
    scan.end().map(|()| found)
}

/// The text of the field `name` of an object; `None` when it is missing, ambiguous, or `text` is no
/// object.
#[must_use]
pub fn field<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let fields = fields(text).ok()?;
    let mut found = fields.iter().filter(|(n, _)| *n == name.as_bytes());
    let (_, part) = found.next()?;
    found.next().is_none().then_some(part)
}

/// Like [`field`], for a field that is required.
///
/// # Errors
/// When `text` is no object, or the field is missing or ambiguous.
pub fn required<'a>(text: &'a [u8], name: &'static str) -> Result<&'a [u8], SplitError> {
    fields(text)?;
    field(text, name).ok_or(SplitError::Missing(name))
}

/// Decodes a part of a text.
///
/// # Errors
/// The reason why it does not decode as a `T`.
pub fn decode<T: DeserializeOwned>(part: &[u8]) -> Result<T, String> {
    serde_json::from_slice(part).map_err(|e| e.to_string())
}

struct Scan<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scan<'a> {
    fn peek(&mut self) -> Option<u8> {
        let rest = &self.text[self.at..];
        let is_space = |b: &u8| matches!(b, b' ' | b'\n' | b'\r' | b'\t');
        self.at += rest.iter().take_while(|b| is_space(b)).count();
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let is_next = self.peek() == Some(byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn expect(&mut self, expected: u8) -> Result<(), SplitError> {
        let is_next = self.take(expected);
        match self.text.get(self.at) {
            _ if is_next => Ok(()),
            None => Err(SplitError::Ended),
            Some(_) => Err(SplitError::Expected {
                expected,
                at: self.at,
            }),
        }
    }

    fn end(&mut self) -> Result<(), SplitError> {
        match self.peek() {
            None => Ok(()),
            Some(_) => Err(SplitError::Expected {
                expected: b'\n',
                at: self.at,
            }),
        }
    }

    /// Reads a string and returns what is between its quotes.
    fn string(&mut self) -> Result<&'a [u8], SplitError> {
        self.expect(b'"')?;
        let start = self.at;
        loop {
            let rest = &self.text[self.at..];
            let next = rest.iter().position(|b| matches!(b, b'"' | b'\\'));
            let next = next.ok_or(SplitError::Ended)?;
            if rest[next] == b'"' {
                self.at += next + 1;
                return Ok(&self.text[start..self.at - 1]);
            }
            self.at = (self.at + next + 2).min(self.text.len());
        }
    }

    /// Reads a value of any type, up to the separator or bracket that follows it.
    fn part(&mut self) -> Result<&'a [u8], SplitError> {
        self.peek();
        let start = self.at;
        let mut depth = 0_usize;
        loop {
            let byte = *self.text.get(self.at).ok_or(SplitError::Ended)?;
            match byte {
                b'"' => {
                    self.string()?;
                    continue;
                }
                b'[' | b'{' => depth += 1,
                b']' | b'}' if depth > 0 => depth -= 1,
                b']' | b'}' | b',' if depth == 0 => break,
                _ => {}
            }
            self.at += 1;
        }
        Ok(&self.text[start..self.at])
    }
}
