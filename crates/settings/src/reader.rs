//! Typed reading of a parsed document that collects faults instead of stopping.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    tokens::Token,
    CollectOptions, ParseOptions, Scanner,
};
use smol_str::SmolStr;

use crate::report::{Fault, FaultKind, FaultReport, Position};

/// The longest document, the configuration service's limit on a value.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The greatest depth of nested values; the declaration's fields lie at most 6 deep.
const MAX_DEPTH: usize = 64;

/// Names further apart than this are not suggested for each other.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Collects the faults of one text.
pub struct FaultCollector<'t> {
    text: &'t str,
    found: RefCell<Vec<(usize, FaultKind)>>,
}

impl<'t> FaultCollector<'t> {
    /// Starts an empty collection for `text`.
    pub fn new(text: &'t str) -> Self {
        Self {
            text,
            found: RefCell::default(),
        }
    }

    /// Records a fault at a byte offset.
    pub fn add(&self, offset: usize, kind: FaultKind) {
        self.found.borrow_mut().push((offset, kind));
    }

    /// Gives `value` if no fault was recorded, else the sorted report.
    pub fn finish<T>(self, value: T) -> Result<T, FaultReport> {
        let mut found = self.found.into_inner();
        if found.is_empty() {
            return Ok(value);
        }
        found.sort_by_key(|(offset, _)| *offset);
        let faults = found
            .into_iter()
            .map(|(offset, kind)| Fault {
                position: Position::of(self.text, offset),
                kind,
            })
            .collect();
        Err(FaultReport { faults })
    }
}

/// Checks length and encoding, which must hold before anything else can be said.
pub fn decode(buf: &[u8]) -> Result<&str, FaultReport> {
    let at_start = Position { line: 1, column: 1 };
    if buf.len() > MAX_DOCUMENT_BYTES {
        let kind = FaultKind::DocumentTooLarge {
            bytes: buf.len(),
            limit: MAX_DOCUMENT_BYTES,
        };
        return Err(single_fault(at_start, kind));
    }
    std::str::from_utf8(buf).map_err(|e| {
        let valid = std::str::from_utf8(&buf[..e.valid_up_to()]).unwrap_or_default();
        let kind = FaultKind::InvalidUtf8 {
            byte: buf[e.valid_up_to()],
        };
        single_fault(Position::of(valid, valid.len()), kind)
    })
}

/// Refuses a text that the parser, which calls itself for each level, would overflow the stack on.
fn check_depth(text: &str) -> Result<(), FaultReport> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    // What the scanner cannot read, the parser refuses with its own message.
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            let kind = FaultKind::NestedTooDeep { limit: MAX_DEPTH };
            return Err(single_fault(
                Position::of(text, scanner.token_start()),
                kind,
            ));
        }
    }
    Ok(())
}

/// Parses JSON with comments whose root is an object.
pub fn parse_document(text: &str) -> Result<Object<'_>, FaultReport> {
    check_depth(text)?;
    let options = ParseOptions::default();
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options).map_err(|e| {
            let kind = FaultKind::Syntax {
                message: e.kind().to_string(),
            };
            single_fault(Position::of(text, e.range().start), kind)
        })?;
    match parsed.value {
        Some(Value::Object(object)) => Ok(object),
        other => {
            let kind = FaultKind::WrongType {
                field: "document".to_owned(),
                expected: "an object",
                found: other.as_ref().map_or("nothing", type_name),
            };
            Err(single_fault(Position::of(text, 0), kind))
        }
    }
}

fn single_fault(position: Position, kind: FaultKind) -> FaultReport {
    FaultReport {
        faults: vec![Fault { position, kind }],
    }
}

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

/// The candidate nearest to `name`, if any is near.
pub fn closest_match<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<String> {
    candidates
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}

/// Reads the fields of one object and reports those that nobody read.
pub struct FieldReader<'d, 't> {
    object: &'d Object<'t>,
    faults: &'d FaultCollector<'t>,
    known: RefCell<Vec<&'static str>>,
    any_name: Cell<bool>,
}

impl<'d, 't> FieldReader<'d, 't> {
    /// Starts reading `object`; a field that stands twice is a fault.
    pub fn new(object: &'d Object<'t>, faults: &'d FaultCollector<'t>) -> Self {
        for (n, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            let seen = &object.properties[..n];
            if seen.iter().any(|other| other.name.as_str() == name) {
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
            any_name: Cell::new(false),
        }
    }

    /// Byte offset of the object.
    pub fn offset(&self) -> usize {
        self.object.start()
    }

    /// Byte offset of a field, or of the object if the field is absent.
    pub fn offset_of(&self, name: &'static str) -> usize {
        self.property(name)
            .map_or(self.offset(), |prop| prop.start())
    }

    /// All fields, for objects whose field names are the user's own.
    pub fn properties(&self) -> impl Iterator<Item = &'d ObjectProp<'t>> {
        self.any_name.set(true);
        self.object.properties.iter()
    }

    /// The field's value, if present.
    pub fn property(&self, name: &'static str) -> Option<&'d ObjectProp<'t>> {
        self.known.borrow_mut().push(name);
        let mut properties = self.object.properties.iter();
        properties.find(|prop| prop.name.as_str() == name)
    }

    /// Whether the field is present.
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

    /// An optional string.
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

    /// A string that must be present; empty after a fault.
    pub fn required_string(&self, name: &'static str) -> SmolStr {
        if !self.contains(name) {
            self.add_missing_fault(name);
        }
        self.string(name).unwrap_or_default()
    }

    /// An optional boolean.
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

    /// An optional whole number within a range.
    pub fn integer(
        &self,
        name: &'static str,
        (least, most): (u64, u64),
        unit: &'static str,
    ) -> Option<u64> {
        let prop = self.property(name)?;
        integer_property(prop, (least, most), unit, self.faults)
    }

    /// An optional number within a range that may have a fraction.
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

    /// An IP number with a port that must be present.
    pub fn required_address(&self, name: &'static str) -> Option<SocketAddr> {
        if !self.contains(name) {
            self.add_missing_fault(name);
            return None;
        }
        self.address(name)
    }

    /// An optional IP number with a port.
    pub fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let text = self.string(name)?;
        self.parse_value(name, &text, "an IP number and port such as 10.0.0.7:7000")
    }

    /// Parses a text that was read from `name`.
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

    /// An object of the user's own names; absent counts as empty.
    pub fn object(&self, name: &'static str) -> Option<FieldReader<'d, 't>> {
        let prop = self.property(name)?;
        object_property(prop, self.faults)
    }

    /// An object that must be present.
    pub fn required_object(&self, name: &'static str) -> Option<FieldReader<'d, 't>> {
        if !self.contains(name) {
            self.add_missing_fault(name);
        }
        self.object(name)
    }

    /// The values of a list; absent counts as empty.
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

    /// The objects of a list; other elements are faults.
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

    /// The strings of a list; other elements are faults.
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

    /// The IP numbers with ports of a list; other elements are faults.
    pub fn addresses(&self, name: &'static str, faults: &FaultCollector<'_>) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (offset, text) in self.strings(name) {
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let kind = FaultKind::InvalidFormat {
                        field: name.to_owned(),
                        value: text.to_string(),
                        expected: "IP numbers and ports such as 10.0.0.7:7000",
                    };
                    faults.add(offset, kind);
                }
            }
        }
        addresses
    }

    /// Reports the fields that were never asked for.
    pub fn finish(&self) {
        if self.any_name.get() {
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

/// Reads a whole number within a range from a field.
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

/// Reads an object from a field.
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
