//! Splits JSON text into the parts of an array or object without decoding them, so that a part that
//! can't be decoded does not affect the others.
//!
//! Parts are found by quotes and brackets only. Nothing recurses: the depth of a part is bounded by
//! its size, and is first checked when it is decoded. A part whose end can't be told is not guessed:
//! what precedes it is kept, and what follows it is missing.

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
    /// Quotes or brackets of a part are not closed, so its end is unknown.
    #[error("unclosed text before byte {0}")]
    Unclosed(usize),
    /// A required field is missing.
    #[error("missing field `{0}`")]
    Missing(&'static str),
}

/// The texts of the elements of an array.
///
/// # Errors
/// When `text` is no array whose strings and brackets are closed.
pub fn elements(text: &[u8]) -> Result<Vec<&[u8]>, SplitError> {
    let mut scan = Scan::new(text);
    let mut found = Vec::new();
    scan.elements(&mut found)?;
    scan.end().map(|()| found)
}

/// An object with a list, and what can be told of it when one of the list's elements is unclosed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<'a> {
    /// The fields beside the list; with an unclosed element, those before the list.
    pub fields: Vec<Field<'a>>,
    /// The elements of the list; with an unclosed element, those before it.
    pub elements: Vec<&'a [u8]>,
    /// The text from an unclosed element on, and what is wrong with it.
    pub unclosed: Option<(&'a [u8], SplitError)>,
}

impl<'a> Listing<'a> {
    /// Splits an object and the list in its field `name`.
    ///
    /// # Errors
    /// When `text` is no object with one such list, or another field is not closed.
    pub fn split(text: &'a [u8], name: &'static str) -> Result<Self, SplitError> {
        let mut scan = Scan::new(text);
        let mut fields = Vec::new();
        let mut list = None;
        scan.expect(b'{')?;
        loop {
            let field = scan.string()?;
            scan.expect(b':')?;
            match field == name.as_bytes() {
                false => fields.push((field, scan.part()?)),
                true if list.is_some() => return Err(SplitError::Missing(name)),
                true => {
                    scan.peek();
                    let mut elements = Vec::new();
                    if let Err((start, cause)) = scan.list(&mut elements) {
                        return Ok(Self {
                            fields,
                            elements,
                            unclosed: Some((&text[start..], cause)),
                        });
                    }
                    list = Some(elements);
                }
            }
            if !scan.take(b',') {
                break;
            }
        }
        scan.expect(b'}')?;
        scan.end()?;
        Ok(Self {
            fields,
            elements: list.ok_or(SplitError::Missing(name))?,
            unclosed: None,
        })
    }

    /// The text of the field `name`; `None` when it is missing or ambiguous.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'a [u8]> {
        only(&self.fields, name)
    }
}

/// The names and the texts of the fields of an object, in order. Names are as written, without
/// decoding of escapes.
///
/// # Errors
/// When `text` is no object whose strings and brackets are closed.
pub fn fields(text: &[u8]) -> Result<Vec<Field<'_>>, SplitError> {
    let mut found = Vec::new();
    split_fields(text, &mut found).map(|()| found)
}

/// Splits as many fields as can be told apart. The last one is an object without its end when that
/// is unclosed.
fn split_fields<'a>(text: &'a [u8], found: &mut Vec<Field<'a>>) -> Result<(), SplitError> {
    let mut scan = Scan::new(text);
    scan.expect(b'{')?;
    if !scan.take(b'}') {
        loop {
            let name = scan.string()?;
            scan.expect(b':')?;
            scan.peek();
            let start = scan.at;
            match scan.part() {
                Ok(part) => found.push((name, part)),
                Err(e) => {
                    let is_object = text.get(start) == Some(&b'{');
                    found.extend(is_object.then_some((name, &text[start..])));
                    return Err(e);
                }
            }
            if !scan.take(b',') {
                break;
            }
        }
        scan.expect(b'}')?;
    }
    scan.end()
}

fn only<'a>(fields: &[Field<'a>], name: &str) -> Option<&'a [u8]> {
    let mut found = fields.iter().filter(|(n, _)| *n == name.as_bytes());
    let (_, part) = found.next()?;
    found.next().is_none().then_some(part)
}

/// The text of the field `name` of an object; `None` when it is missing or ambiguous. Of an object
/// with an unclosed part, the fields up to that part are known.
#[must_use]
pub fn field<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut fields = Vec::new();
    let _ = split_fields(text, &mut fields);
    only(&fields, name)
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
    /// Whether the brackets of the last part match each other.
    is_matched: bool,
}

impl<'a> Scan<'a> {
    fn new(text: &'a [u8]) -> Self {
        let is_matched = true;
        Self {
            text,
            at: 0,
            is_matched,
        }
    }

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

    /// Reads an array.
    fn elements(&mut self, found: &mut Vec<&'a [u8]>) -> Result<(), SplitError> {
        self.list(found).map_err(|(_, e)| e)
    }

    /// Reads an array into `found`. An error comes with the start of the element that caused it: the
    /// first one whose brackets do not match, if there is one.
    fn list(&mut self, found: &mut Vec<&'a [u8]>) -> Result<(), (usize, SplitError)> {
        self.expect(b'[').map_err(|e| (self.at, e))?;
        let mut doubt = None;
        let (start, error) = loop {
            if found.is_empty() && self.take(b']') {
                return Ok(());
            }
            self.peek();
            let start = self.at;
            let part = match self.part() {
                Ok(part) => part,
                Err(e) => break (start, e),
            };
            if !self.is_matched {
                doubt.get_or_insert((start, found.len()));
            }
            match self.peek() {
                Some(b',' | b']') => found.push(part),
                Some(_) => break (start, SplitError::Unclosed(self.at)),
                None => break (start, SplitError::Ended),
            }
            if self.take(b']') {
                return Ok(());
            }
            self.at += 1;
        };
        let (start, kept) = doubt.unwrap_or((start, found.len()));
        found.truncate(kept);
        Err((start, error))
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
        let mut open = Vec::new();
        let mut is_matched = true;
        loop {
            let byte = *self.text.get(self.at).ok_or(SplitError::Ended)?;
            match byte {
                b'"' => {
                    self.string()?;
                    // A string that is never closed ends at the first quote of another one.
                    match self.peek() {
                        None | Some(b',' | b':' | b']' | b'}') => continue,
                        Some(_) => return Err(SplitError::Unclosed(self.at)),
                    }
                }
                b'[' | b'{' => open.push(byte),
                // With a bracket missing, this may be the next element of the list around.
                b',' if !open.is_empty() && (!is_matched || open.last() == Some(&b'{')) => {
                    self.at += 1;
                    match self.peek() {
                        Some(b'{') => return Err(SplitError::Unclosed(self.at)),
                        _ => continue,
                    }
                }
                b']' | b'}' if !open.is_empty() => {
                    is_matched &= open.pop() == Some(byte - 2);
                }
                b']' | b'}' | b',' if open.is_empty() => break,
                _ => {}
            }
            self.at += 1;
        }
        self.is_matched = is_matched;
        Ok(&self.text[start..self.at])
    }
}
