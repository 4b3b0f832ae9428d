//! Faults of a document and their positions.

use std::fmt;

use derive_more::{Display, Error};

/// A position in a text, as `LINE:COLUMN`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{line}:{column}")]
pub struct Position {
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

impl Position {
    /// Converts a byte offset in `text` to a position; an offset past the end gives the end.
    pub fn from_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let prefix = &text[..end];
        let line_start = prefix.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: prefix.matches('\n').count() + 1,
            column: prefix[line_start..].chars().count() + 1,
        }
    }
}

/// Kind of fault. Each message tells how to correct the document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// The document exceeds the configuration service's size limit for a value.
    #[display("document has {bytes} bytes; shorten it to at most {limit} bytes")]
    DocumentTooLarge {
        /// Length of the document.
        bytes: usize,
        /// Permitted length in bytes.
        limit: usize,
    },
    /// Objects and lists are nested more deeply than any valid document needs.
    #[display("values are nested more than {limit} levels deep; no valid document needs this")]
    NestedTooDeep {
        /// Permitted depth.
        limit: usize,
    },
    /// The bytes are not UTF-8.
    #[display("byte 0x{byte:02x} is not UTF-8; save the file as UTF-8")]
    InvalidUtf8 {
        /// The first invalid byte.
        byte: u8,
    },
    /// The text is not valid JSON with comments.
    #[display("{message}; correct the syntax, then check again, because faults after it are not listed yet")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// A field has a value of the wrong type.
    #[display("field \"{field}\" must be {expected}, not {found}")]
    WrongType {
        /// Name of the field.
        field: String,
        /// The required type.
        expected: &'static str,
        /// The type in the document.
        found: &'static str,
    },
    /// A required field is missing.
    #[display("field \"{field}\" is missing; add it")]
    MissingField {
        /// Name of the field.
        field: String,
    },
    /// The object has no field of this name.
    #[display("field \"{field}\" is unknown; {}", suggestion_text(suggestion))]
    UnknownField {
        /// Name of the field.
        field: String,
        /// The most similar known field name, if any is similar.
        suggestion: Option<String>,
    },
    /// A name that must be unique is used twice.
    #[display("{what} \"{name}\" is declared twice; remove or rename one")]
    Duplicate {
        /// What the name identifies, such as a host.
        what: &'static str,
        /// The name in the document.
        name: String,
    },
    /// A number is out of its range.
    #[display("field \"{field}\" is {value}; use {least} to {most} {unit}")]
    OutOfRange {
        /// Name of the field.
        field: String,
        /// The value in the document.
        value: String,
        /// Smallest permitted value.
        least: u64,
        /// Largest permitted value.
        most: u64,
        /// Unit of the value.
        unit: &'static str,
    },
    /// A string has the wrong format.
    #[display("field \"{field}\" is \"{value}\"; use {expected}")]
    InvalidFormat {
        /// Name of the field.
        field: String,
        /// The value in the document.
        value: String,
        /// Description of the required format.
        expected: &'static str,
    },
    /// A name refers to something that is not declared.
    #[display("{what} \"{name}\" is not declared; {}", suggestion_text(suggestion))]
    Undeclared {
        /// What the name identifies, such as a host.
        what: &'static str,
        /// The name in the document.
        name: String,
        /// The most similar declared name, if any is similar.
        suggestion: Option<String>,
    },
    /// An exception has no reason or a blank one.
    #[display("exception \"{name}\" has no written reason; state in \"reason\" why it is needed")]
    MissingReason {
        /// Name of the exception.
        name: String,
    },
    /// An exception has no scope or more than one.
    #[display("exception \"{name}\" must name exactly one of host, workspace, pool, data_centre")]
    InvalidScope {
        /// Name of the exception.
        name: String,
    },
    /// Two exceptions set the same value in the same scope.
    #[display(
        "exceptions \"{first}\" and \"{second}\" both set \"{key}\" for {scope}; merge them"
    )]
    Conflict {
        /// Name of the earlier exception.
        first: String,
        /// Name of the later exception.
        second: String,
        /// Key of the value.
        key: String,
        /// Kind and name of the scope.
        scope: String,
    },
    /// An exception sets a value that has no effect in its scope.
    #[display("\"{key}\" cannot be set for a {scope}; it can be set for: {allowed}")]
    NotAllowedInScope {
        /// Key of the value.
        key: String,
        /// Kind of the scope.
        scope: String,
        /// Kinds of scope in which it may be set, separated by commas.
        allowed: String,
    },
    /// The declaration has too many exceptions.
    #[display("{count} exceptions are too many; remove some or change a default, at most {limit} are accepted")]
    TooManyExceptions {
        /// Number of exceptions in the declaration.
        count: usize,
        /// Permitted number.
        limit: usize,
    },
    /// A value is greater than another that limits it.
    #[display("\"{small}\" is {small_value} but \"{large}\" is {large_value}; lower the first or raise the second")]
    InconsistentValues {
        /// Key of the value that must not be greater.
        small: &'static str,
        /// The first value.
        small_value: u64,
        /// Key of the value that must not be less.
        large: &'static str,
        /// The second value.
        large_value: u64,
    },
}

/// The remedy for an unknown name.
fn suggestion_text(suggestion: &Option<String>) -> String {
    match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "remove it or declare it".to_owned(),
    }
}

/// A fault and its position.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{position}: error: {kind}")]
pub struct Fault {
    /// Position of the fault in the document.
    pub position: Position,
    /// Kind of fault, with its details.
    pub kind: FaultKind,
}

/// All faults of a document, in document order.
#[derive(Clone, Debug, Default, Error, PartialEq, Eq)]
pub struct FaultReport {
    /// The faults; an error has at least one.
    #[error(ignore)]
    pub faults: Vec<Fault>,
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.faults.iter().enumerate() {
            let newline = if n == 0 { "" } else { "\n" };
            write!(f, "{newline}{fault}")?;
        }
        Ok(())
    }
}

impl FaultReport {
    /// Formats each fault as `FILE:LINE:COLUMN: error: MESSAGE`, from which editors and terminals can jump
    /// to the position.
    pub fn lines<'a>(&'a self, file: &'a str) -> impl Iterator<Item = String> + 'a {
        self.faults
            .iter()
            .map(move |fault| format!("{file}:{fault}"))
    }
}
