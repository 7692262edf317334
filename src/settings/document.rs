//! A settings file as a tree of values with their positions in the file.
//!
//! The tree accepts any YAML, so parsing it only reports syntax errors. All other faults are reported by
//! [`Section`](super::section::Section), which continues after each of them.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Error, Options, Spanned};

use super::fault::{Fault, Position};

/// A value and its position in the file.
#[derive(Clone, Debug)]
pub struct Node {
    /// Position of the first character of the value.
    pub position: Position,
    /// The value.
    pub value: Value,
}

/// A YAML value. Scalars are kept as text and are parsed by the type of their key.
#[derive(Clone, Debug)]
pub enum Value {
    /// An empty or null value.
    Empty,
    /// A scalar.
    Scalar(String),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping; entries are in file order.
    Map(Vec<Entry>),
}

/// One key of a mapping with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Position of the key.
    pub position: Position,
    /// The value.
    pub node: Node,
}

impl Node {
    /// Parses YAML text.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let options = Options {
            strict_booleans: true,
            with_snippet: false,
            ..Options::default()
        };
        let read = serde_saphyr::from_str_with_options::<Spanned<Value>>(text, options);
        read.map(Into::into).map_err(|e| fault(&e))
    }
}

fn fault(error: &Error) -> Fault {
    let position = error.location().map(Position::from).unwrap_or_default();
    let text = error.without_snippet().to_string();
    Fault { position, text }
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            position: spanned.referenced.into(),
            value: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

/// Defines visitor methods that keep the text of a scalar.
macro_rules! visit_scalars {
    ($($method:ident: $type:ty),*) => {
        $(fn $method<E>(self, v: $type) -> Result<Value, E> {
            Ok(Value::Scalar(v.to_string()))
        })*
    };
}

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    visit_scalars!(visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64, visit_str: &str);

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Empty)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Empty)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Value>>()? {
            list.push(item.into());
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some((key, node)) = map.next_entry::<Spanned<String>, Spanned<Value>>()? {
            entries.push(Entry {
                key: key.value,
                position: key.referenced.into(),
                node: node.into(),
            });
        }
        Ok(Value::Map(entries))
    }
}
