//! Reads the keys of one mapping into validated types and continues after each fault.
//!
//! The code that reads a [`Section`] requests each key it supports and then calls [`Section::finish`],
//! which reports the keys that were never requested as unknown.

use std::cell::RefCell;

use super::document::{Entry, Node, Value};
use super::fault::{FaultList, Position};
use super::scalar::Scalar;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// A validated value and its position in the file.
#[derive(Clone, Debug)]
pub struct Positioned<T> {
    /// The value.
    pub value: T,
    /// Position of the value.
    pub position: Position,
}

/// One mapping of a settings file.
#[derive(Debug)]
pub struct Section<'a> {
    faults: &'a FaultList,
    position: Position,
    name: &'a str,
    entries: &'a [Entry],
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Section<'a> {
    /// Opens a mapping; `name` is used in messages. A value of another type is reported as a fault.
    pub fn new(faults: &'a FaultList, name: &'a str, node: &'a Node) -> Option<Self> {
        let Value::Map(entries) = &node.value else {
            faults.add(
                node.position,
                format_args!("{name} must be a mapping of keys to values"),
            );
            return None;
        };
        Some(Self {
            faults,
            position: node.position,
            name,
            entries,
            known: RefCell::default(),
        })
    }

    /// The list that faults are added to.
    pub const fn faults(&self) -> &'a FaultList {
        self.faults
    }

    /// Position of the mapping.
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Reads a required value.
    pub fn required<T: Scalar>(&self, key: &'static str) -> Option<T> {
        Some(self.required_at(key)?.value)
    }

    /// Reads a required value with its position.
    pub fn required_at<T: Scalar>(&self, key: &'static str) -> Option<Positioned<T>> {
        let node = self.required_node(key)?;
        self.scalar(key, node)
    }

    /// Reads an optional value. A malformed value is reported as a fault and returned as `None`.
    pub fn optional<T: Scalar>(&self, key: &'static str) -> Option<T> {
        Some(self.optional_at(key)?.value)
    }

    /// Reads an optional value with its position.
    pub fn optional_at<T: Scalar>(&self, key: &'static str) -> Option<Positioned<T>> {
        let node = self.find(key)?;
        self.scalar(key, node)
    }

    /// Reads a required list of at least one value.
    pub fn list<T: Scalar>(&self, key: &'static str) -> Option<Vec<Positioned<T>>> {
        let nodes = self.nodes(key)?;
        let values: Vec<_> = nodes.iter().map(|n| self.scalar(key, n)).collect();
        values.into_iter().collect()
    }

    /// Opens a required mapping.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let node = self.required_node(key)?;
        Section::new(self.faults, key, node)
    }

    /// Opens an optional mapping.
    pub fn optional_section(&self, key: &'static str) -> Option<Section<'a>> {
        Section::new(self.faults, key, self.find(key)?)
    }

    /// Opens a required list of at least one mapping.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let nodes = self.nodes(key).unwrap_or_default();
        nodes
            .iter()
            .filter_map(|n| Section::new(self.faults, key, n))
            .collect()
    }

    /// Reads a mapping with arbitrary keys, such as module names.
    pub fn pairs<T: Scalar>(&self) -> Vec<(String, T)> {
        let read = |e: &'a Entry| Some((e.key.clone(), self.scalar(&e.key, &e.node)?.value));
        self.entries.iter().filter_map(read).collect()
    }

    /// Reports the keys that were never requested as unknown.
    pub fn finish(&self) {
        let known = self.known.borrow();
        let unknown = self.entries.iter().filter(|e| !known.contains(&&*e.key));
        for entry in unknown {
            let key = &entry.key;
            let advice = match closest_key(key, &known) {
                Some(candidate) => format!("did you mean {candidate}?"),
                None => format!("known keys are {}", known.join(", ")),
            };
            let name = self.name;
            let text = format_args!("unknown key {key} in {name}; {advice}");
            self.faults.add(entry.position, text);
        }
    }

    fn find(&self, key: &'static str) -> Option<&'a Node> {
        self.known.borrow_mut().push(key);
        let entry = self.entries.iter().find(|e| e.key == key)?;
        Some(&entry.node)
    }

    fn required_node(&self, key: &'static str) -> Option<&'a Node> {
        let found = self.find(key);
        if found.is_none() {
            let name = self.name;
            let text = format_args!("missing key {key} in {name}");
            self.faults.add(self.position, text);
        }
        found
    }

    fn nodes(&self, key: &'static str) -> Option<&'a [Node]> {
        let node = self.required_node(key)?;
        match &node.value {
            Value::List(nodes) if !nodes.is_empty() => Some(nodes),
            _ => {
                let text = format_args!("{key} must be a list with at least one value");
                self.faults.add(node.position, text);
                None
            }
        }
    }

    fn scalar<T: Scalar>(&self, key: &str, node: &Node) -> Option<Positioned<T>> {
        let position = node.position;
        let Value::Scalar(text) = &node.value else {
            let text = format_args!("{key} must be {}, written as one value", T::EXPECTED);
            self.faults.add(position, text);
            return None;
        };
        match T::read(text) {
            Ok(value) => Some(Positioned { value, position }),
            Err(why) => {
                let why = why.unwrap_or_else(|| format!("it must be {}", T::EXPECTED));
                let text = format_args!("{key}: invalid value {text:?}: {why}");
                self.faults.add(position, text);
                None
            }
        }
    }
}

fn closest_key(key: &str, known: &[&'static str]) -> Option<&'static str> {
    let similarity = |candidate: &&'static str| strsim::jaro_winkler(key, candidate);
    let candidate = known
        .iter()
        .copied()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(&candidate) >= MIN_SIMILARITY).then_some(candidate)
}
