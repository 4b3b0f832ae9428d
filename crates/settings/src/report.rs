//! FaultCollector of a document, with positions.

use std::fmt;

use derive_more::{Display, Error};

/// A place in a text, both counted from one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{line}:{column}")]
pub struct Position {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
}

impl Position {
    /// The position of byte `offset` in `text`.
    pub fn of(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// What is wrong with a document. Each message says how to mend it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// The document exceeds the configuration service's limit on values.
    #[display("document has {bytes} bytes; shorten it to at most {limit} bytes")]
    DocumentTooLarge {
        /// The document's length.
        bytes: usize,
        /// The longest document.
        limit: usize,
    },
    /// Values lie deeper in each other than any document needs.
    #[display("values are nested more than {limit} deep; no field needs that")]
    NestedTooDeep {
        /// The greatest depth.
        limit: usize,
    },
    /// The bytes are not UTF-8.
    #[display("byte 0x{byte:02x} is not UTF-8; save the file as UTF-8")]
    InvalidUtf8 {
        /// The first byte that does not fit.
        byte: u8,
    },
    /// The text is not JSON with comments.
    #[display("{message}; correct the syntax, then check again for faults behind it")]
    Syntax {
        /// What the parser expected.
        message: String,
    },
    /// A field has another type.
    #[display("field \"{field}\" must be {expected}, not {found}")]
    WrongType {
        /// The field.
        field: String,
        /// The type that fits.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// A field that must be present is absent.
    #[display("field \"{field}\" is missing; add it")]
    MissingField {
        /// The field.
        field: String,
    },
    /// A field that no process reads.
    #[display("field \"{field}\" is unknown; {}", suggestion_text(suggestion))]
    UnknownField {
        /// The field.
        field: String,
        /// The nearest known field.
        suggestion: Option<String>,
    },
    /// A name stands twice.
    #[display("{what} \"{name}\" is declared twice; remove or rename one")]
    Duplicate {
        /// What the name stands for.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A number is out of range.
    #[display("field \"{field}\" is {value}; use {least} to {most} {unit}")]
    OutOfRange {
        /// The field.
        field: String,
        /// What was written.
        value: String,
        /// The least value.
        least: u64,
        /// The greatest value.
        most: u64,
        /// The unit.
        unit: &'static str,
    },
    /// A value has the wrong form.
    #[display("field \"{field}\" is \"{value}\"; use {expected}")]
    InvalidFormat {
        /// The field.
        field: String,
        /// What was written.
        value: String,
        /// The form that fits.
        expected: &'static str,
    },
    /// A name refers to nothing.
    #[display("{what} \"{name}\" is not declared; {}", suggestion_text(suggestion))]
    Undeclared {
        /// What the name stands for.
        what: &'static str,
        /// The name.
        name: String,
        /// The nearest declared name.
        suggestion: Option<String>,
    },
    /// An exception without a reason.
    #[display("exception \"{name}\" has no written reason; say in \"reason\" why it is needed")]
    MissingReason {
        /// The exception's name.
        name: String,
    },
    /// An exception without exactly one scope.
    #[display("exception \"{name}\" must name exactly one of host, workspace, pool, data_centre")]
    InvalidScope {
        /// The exception's name.
        name: String,
    },
    /// Two exceptions set one value in one scope.
    #[display(
        "exceptions \"{first}\" and \"{second}\" both set \"{key}\" for {scope}; merge them"
    )]
    Conflict {
        /// The earlier exception.
        first: String,
        /// The later exception.
        second: String,
        /// The value's name.
        key: String,
        /// The scope.
        scope: String,
    },
    /// A value that has no effect in the scope.
    #[display("\"{key}\" cannot be set for a {scope}; it holds for: {allowed}")]
    NotAllowedInScope {
        /// The value's name.
        key: String,
        /// The scope.
        scope: String,
        /// Where it may be set.
        allowed: String,
    },
    /// The list of exceptions is no longer short.
    #[display("{count} exceptions are too many; retire some or change a default, at most {limit} are accepted")]
    TooManyExceptions {
        /// How many there are.
        count: usize,
        /// How many are accepted.
        limit: usize,
    },
    /// Two values do not go together.
    #[display("\"{small}\" is {small_value} but \"{large}\" is {large_value}; lower the first or raise the second")]
    InconsistentValues {
        /// The value that must not be greater.
        small: &'static str,
        /// Its value.
        small_value: u64,
        /// The value that must not be less.
        large: &'static str,
        /// Its value.
        large_value: u64,
    },
}

fn suggestion_text(suggestion: &Option<String>) -> String {
    match suggestion {
        Some(name) => format!("did you mean \"{name}\"?"),
        None => "remove it or declare it".to_owned(),
    }
}

/// One fault and its place.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{position}: error: {kind}")]
pub struct Fault {
    /// Where the fault stands.
    pub position: Position,
    /// What is wrong.
    pub kind: FaultKind,
}

/// All faults of a document, in the order of the text.
#[derive(Clone, Debug, Default, Error, PartialEq, Eq)]
pub struct FaultReport {
    /// The faults; never empty in an error.
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
    /// The faults as lines that editors and terminals can jump to.
    pub fn lines<'a>(&'a self, file: &'a str) -> impl Iterator<Item = String> + 'a {
        self.faults
            .iter()
            .map(move |fault| format!("{file}:{fault}"))
    }
}
