//! Reads typed fields from a parsed document and collects faults instead of stopping at the first.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    str::FromStr,
};

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    tokens::Token,
    CollectOptions, ParseOptions, Scanner,
};
use smol_str::SmolStr;

use crate::report::{Fault, FaultKind, FaultReport, Position};

/// Longest accepted document; the configuration service limits values to this length.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Deepest accepted nesting of objects and lists; the declaration's fields are nested at most 6 levels deep.
const MAX_DEPTH: usize = 64;

/// Edit distance above which a known name is not suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Collects the faults of one document.
pub struct FaultCollector<'t> {
    text: &'t str,
    faults: RefCell<Vec<(usize, FaultKind)>>,
}

impl<'t> FaultCollector<'t> {
    /// Starts an empty collection for `text`.
    pub fn new(text: &'t str) -> Self {
        Self {
            text,
            faults: RefCell::default(),
        }
    }

    /// Records a fault at a byte offset of the document.
    pub fn add(&self, offset: usize, kind: FaultKind) {
        self.faults.borrow_mut().push((offset, kind));
    }

    /// Returns `value` if no fault was recorded, otherwise the faults sorted by position.
    pub fn finish<T>(self, value: T) -> Result<T, FaultReport> {
        let mut faults = self.faults.into_inner();
        if faults.is_empty() {
            return Ok(value);
        }
        faults.sort_by_key(|(offset, _)| *offset);
        let faults = faults
            .into_iter()
            .map(|(offset, kind)| Fault {
                position: Position::from_offset(self.text, offset),
                kind,
            })
            .collect();
        Err(FaultReport { faults })
    }
}

/// Checks the length and the UTF-8 encoding, without which the document cannot be parsed.
pub fn decode(buf: &[u8]) -> Result<&str, FaultReport> {
    let start = Position { line: 1, column: 1 };
    if buf.len() > MAX_DOCUMENT_BYTES {
        let kind = FaultKind::DocumentTooLarge {
            bytes: buf.len(),
            limit: MAX_DOCUMENT_BYTES,
        };
        return Err(single_fault(start, kind));
    }
    std::str::from_utf8(buf).map_err(|e| {
        let prefix = std::str::from_utf8(&buf[..e.valid_up_to()]).unwrap_or_default();
        let kind = FaultKind::InvalidUtf8 {
            byte: buf[e.valid_up_to()],
        };
        single_fault(Position::from_offset(prefix, prefix.len()), kind)
    })
}

/// Rejects a text nested so deeply that the recursive parser would overflow the stack.
fn check_depth(text: &str) -> Result<(), FaultReport> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    // An error of the scanner ends the check; the parser then reports it with its own message.
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            let kind = FaultKind::NestedTooDeep { limit: MAX_DEPTH };
            return Err(single_fault(
                Position::from_offset(text, scanner.token_start()),
                kind,
            ));
        }
    }
    Ok(())
}

/// Parses JSON with comments; the root must be an object.
pub fn parse_document(text: &str) -> Result<Object<'_>, FaultReport> {
    check_depth(text)?;
    let options = ParseOptions::default();
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options).map_err(|e| {
            let kind = FaultKind::Syntax {
                message: e.kind().to_string(),
            };
            single_fault(Position::from_offset(text, e.range().start), kind)
        })?;
    match parsed.value {
        Some(Value::Object(object)) => Ok(object),
        other => {
            let kind = FaultKind::WrongType {
                field: "document".to_owned(),
                expected: "an object",
                found: other.as_ref().map_or("nothing", type_name),
            };
            Err(single_fault(Position::from_offset(text, 0), kind))
        }
    }
}

/// A report with a single fault.
fn single_fault(position: Position, kind: FaultKind) -> FaultReport {
    FaultReport {
        faults: vec![Fault { position, kind }],
    }
}

/// The name of a value's JSON type, with its article.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Returns the candidate with the smallest edit distance to `name`, unless all are too different from it.
pub fn closest_match<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}

/// Reads the fields of one object and reports the unknown ones.
pub struct FieldReader<'d, 't> {
    object: &'d Object<'t>,
    faults: &'d FaultCollector<'t>,
    /// Names of the fields read so far; every other field is unknown.
    known: RefCell<Vec<&'static str>>,
    /// Whether the object has arbitrary field names, so that none is unknown.
    accepts_any_name: Cell<bool>,
}

impl<'d, 't> FieldReader<'d, 't> {
    /// Starts reading `object` and records a fault for every duplicate field.
    pub fn new(object: &'d Object<'t>, faults: &'d FaultCollector<'t>) -> Self {
        for (n, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            let earlier = &object.properties[..n];
            if earlier.iter().any(|other| other.name.as_str() == name) {
                faults.add(
                    prop.start(),
                    FaultKind::Duplicate {
                        what: "field",
                        name: name.to_owned(),
                    },
                );
            }
        }
        Self {
            object,
            faults,
            known: RefCell::default(),
            accepts_any_name: Cell::new(false),
        }
    }

    /// Byte offset of the object in the document.
    pub fn offset(&self) -> usize {
        self.object.start()
    }

    /// Byte offset of a field in the document, or of the object if the field is missing.
    pub fn offset_of(&self, name: &'static str) -> usize {
        self.property(name)
            .map_or(self.offset(), |prop| prop.start())
    }

    /// All fields, for objects whose field names the user chooses; disables the check for unknown fields.
    pub fn properties(&self) -> impl Iterator<Item = &'d ObjectProp<'t>> {
        self.accepts_any_name.set(true);
        self.object.properties.iter()
    }

    /// The field with its value, if present; marks the field as known.
    pub fn property(&self, name: &'static str) -> Option<&'d ObjectProp<'t>> {
        self.known.borrow_mut().push(name);
        let mut properties = self.object.properties.iter();
        properties.find(|prop| prop.name.as_str() == name)
    }

    /// Whether the field is present; marks it as known.
    pub fn contains(&self, name: &'static str) -> bool {
        self.property(name).is_some()
    }

    fn add_type_fault(&self, name: &str, value: &Value, expected: &'static str) {
        let kind = FaultKind::WrongType {
            field: name.to_owned(),
            expected,
            found: type_name(value),
        };
        self.faults.add(value.start(), kind);
    }

    fn add_missing_fault(&self, name: &str) {
        let kind = FaultKind::MissingField {
            field: name.to_owned(),
        };
        self.faults.add(self.offset(), kind);
    }

    /// Reads an optional string.
    pub fn string(&self, name: &'static str) -> Option<SmolStr> {
        let prop = self.property(name)?;
        match &prop.value {
            Value::StringLit(lit) => Some(SmolStr::new(&lit.value)),
            other => {
                self.add_type_fault(name, other, "a string");
                None
            }
        }
    }

    /// Reads an optional string that names a value of `T`; `expected` describes these names.
    pub fn parsed<T: FromStr>(&self, name: &'static str, expected: &'static str) -> Option<T> {
        let value = self.string(name)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            let kind = FaultKind::InvalidFormat {
                field: name.to_owned(),
                value: value.to_string(),
                expected,
            };
            let offset = self
                .property(name)
                .map_or(self.offset(), |prop| prop.value.start());
            self.faults.add(offset, kind);
        }
        parsed
    }

    /// Reads a required string; returns an empty one after a fault.
    pub fn required_string(&self, name: &'static str) -> SmolStr {
        if !self.contains(name) {
            self.add_missing_fault(name);
        }
        self.string(name).unwrap_or_default()
    }

    /// Reads an optional boolean.
    pub fn boolean(&self, name: &'static str) -> Option<bool> {
        let prop = self.property(name)?;
        match &prop.value {
            Value::BooleanLit(lit) => Some(lit.value),
            other => {
                self.add_type_fault(name, other, "a boolean");
                None
            }
        }
    }

    /// Reads an optional integer within an inclusive range.
    pub fn integer(
        &self,
        name: &'static str,
        (least, most): (u64, u64),
        unit: &'static str,
    ) -> Option<u64> {
        let prop = self.property(name)?;
        integer_property(prop, (least, most), unit, self.faults)
    }

    /// Reads an optional number within an inclusive range; it may have a fraction.
    pub fn float(
        &self,
        name: &'static str,
        (least, most): (u32, u32),
        unit: &'static str,
    ) -> Option<f64> {
        let prop = self.property(name)?;
        let Value::NumberLit(lit) = &prop.value else {
            self.add_type_fault(name, &prop.value, "a number");
            return None;
        };
        match lit.value.parse::<f64>() {
            Ok(value) if (f64::from(least)..=f64::from(most)).contains(&value) => Some(value),
            _ => {
                let kind = FaultKind::OutOfRange {
                    field: name.to_owned(),
                    value: lit.value.to_string(),
                    least: least.into(),
                    most: most.into(),
                    unit,
                };
                self.faults.add(prop.value.start(), kind);
                None
            }
        }
    }

    /// Reads a required IP address with a port.
    pub fn required_address(&self, name: &'static str) -> Option<SocketAddr> {
        if !self.contains(name) {
            self.add_missing_fault(name);
            return None;
        }
        self.address(name)
    }

    /// Reads an optional IP address with a port.
    pub fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let text = self.string(name)?;
        self.parse_value(name, &text, "an IP address and port such as 10.0.0.7:7000")
    }

    /// Parses `text`, the string in field `name`; `expected` describes its format in a fault.
    pub fn parse_value<T: std::str::FromStr>(
        &self,
        name: &'static str,
        text: &str,
        expected: &'static str,
    ) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let kind = FaultKind::InvalidFormat {
                field: name.to_owned(),
                value: text.to_owned(),
                expected,
            };
            self.faults.add(self.offset_of(name), kind);
        }
        parsed
    }

    /// Reads an optional object.
    pub fn object(&self, name: &'static str) -> Option<FieldReader<'d, 't>> {
        let prop = self.property(name)?;
        object_property(prop, self.faults)
    }

    /// Reads a required object.
    pub fn required_object(&self, name: &'static str) -> Option<FieldReader<'d, 't>> {
        if !self.contains(name) {
            self.add_missing_fault(name);
        }
        self.object(name)
    }

    /// Reads the elements of a list; a missing list counts as empty.
    pub fn list(&self, name: &'static str) -> &'d [Value<'t>] {
        let Some(prop) = self.property(name) else {
            return &[];
        };
        match &prop.value {
            Value::Array(array) => &array.elements,
            other => {
                self.add_type_fault(name, other, "a list");
                &[]
            }
        }
    }

    /// Reads a list of objects; records a fault for every other element.
    pub fn object_list(&self, name: &'static str) -> Vec<FieldReader<'d, 't>> {
        let mut objects = Vec::new();
        for value in self.list(name) {
            match value {
                Value::Object(object) => objects.push(FieldReader::new(object, self.faults)),
                other => self.add_type_fault(name, other, "a list of objects"),
            }
        }
        objects
    }

    /// Reads a list of strings with their byte offsets; records a fault for every other element.
    pub fn strings(&self, name: &'static str) -> Vec<(usize, SmolStr)> {
        let mut texts = Vec::new();
        for value in self.list(name) {
            match value {
                Value::StringLit(lit) => texts.push((value.start(), SmolStr::new(&lit.value))),
                other => self.add_type_fault(name, other, "a list of strings"),
            }
        }
        texts
    }

    /// Reads a list of IP addresses with ports; records a fault for every other element.
    pub fn addresses(&self, name: &'static str, faults: &FaultCollector<'_>) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (offset, text) in self.strings(name) {
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let kind = FaultKind::InvalidFormat {
                        field: name.to_owned(),
                        value: text.to_string(),
                        expected: "IP addresses and ports such as 10.0.0.7:7000",
                    };
                    faults.add(offset, kind);
                }
            }
        }
        addresses
    }

    /// Records a fault for every field that has not been read.
    pub fn report_unknown(&self) {
        if self.accepts_any_name.get() {
            return;
        }
        let known = self.known.borrow();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if known.contains(&name) {
                continue;
            }
            let kind = FaultKind::UnknownField {
                field: name.to_owned(),
                suggestion: closest_match(name, known.iter().copied()),
            };
            self.faults.add(prop.start(), kind);
        }
    }
}

/// Reads the value of `prop` as an integer within an inclusive range.
pub fn integer_property(
    prop: &ObjectProp<'_>,
    (least, most): (u64, u64),
    unit: &'static str,
    faults: &FaultCollector<'_>,
) -> Option<u64> {
    let field = prop.name.as_str().to_owned();
    let Value::NumberLit(lit) = &prop.value else {
        let kind = FaultKind::WrongType {
            field,
            expected: "a whole number",
            found: type_name(&prop.value),
        };
        faults.add(prop.value.start(), kind);
        return None;
    };
    match lit.value.parse() {
        Ok(value) if (least..=most).contains(&value) => Some(value),
        _ => {
            let kind = FaultKind::OutOfRange {
                field,
                value: lit.value.to_string(),
                least,
                most,
                unit,
            };
            faults.add(prop.value.start(), kind);
            None
        }
    }
}

/// Reads the value of `prop` as an object.
pub fn object_property<'d, 't>(
    prop: &'d ObjectProp<'t>,
    faults: &'d FaultCollector<'t>,
) -> Option<FieldReader<'d, 't>> {
    match &prop.value {
        Value::Object(object) => Some(FieldReader::new(object, faults)),
        other => {
            let kind = FaultKind::WrongType {
                field: prop.name.as_str().to_owned(),
                expected: "an object",
                found: type_name(other),
            };
            faults.add(other.start(), kind);
            None
        }
    }
}
