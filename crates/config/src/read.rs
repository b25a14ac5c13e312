//! Parses one file and checks its syntax, keys, types and bounds.

use std::ops::Range;

use indexmap::IndexMap;
use toml_edit::{Document, Item, Key, TableLike, Value};

use crate::report::{FileRole, MAX_FILE_BYTES, Origin, Report};
use crate::settings::{self, Setting, SettingKind};
use crate::tree::{Entry, Node};

/// Maximum number of characters of the input that a message or path quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// Reads a file. Returns `None` if it cannot be parsed.
pub(crate) fn file(report: &mut Report<'_>, role: FileRole) -> Option<Entry> {
    let text = &report.source(role).text;
    let start = Origin {
        role,
        offset_bytes: 0,
    };
    if text.len() > MAX_FILE_BYTES {
        let message = format!("The file is larger than {MAX_FILE_BYTES} bytes.");
        report.add(start, "", message);
        return None;
    }
    match Document::parse(text.as_str()) {
        Ok(document) => {
            let mut reader = Reader { report, role };
            let node = reader.table(document.as_table(), "", "");
            Some(Entry {
                origin: start,
                path: String::new(),
                node,
            })
        }
        Err(error) => {
            let offset_bytes = error.span().map_or(0, |span| span.start);
            let message = format!("The syntax is not TOML: {}.", error.message().trim_end());
            report.add(Origin { role, offset_bytes }, "", message);
            None
        }
    }
}

/// `Reader` converts the TOML items of one file to entries.
struct Reader<'r, 'a> {
    report: &'r mut Report<'a>,
    role: FileRole,
}

impl Reader<'_, '_> {
    /// Reads an item whose path in the table of settings is `setting_path`.
    fn entry(&mut self, key: &Key, item: &Item, setting_path: &str, path: String) -> Entry {
        let origin = self.origin(item.span().or(key.span()));
        let node = match settings::find(setting_path) {
            Some(setting) if setting.kind != SettingKind::Map => {
                self.leaf(item, setting, origin, &path)
            }
            _ => self.nested(item, setting_path, origin, &path),
        };
        Entry { origin, path, node }
    }

    fn nested(&mut self, item: &Item, setting_path: &str, origin: Origin, path: &str) -> Node {
        match item.as_table_like() {
            Some(table) => self.table(table, setting_path, path),
            None => self.wrong_type("a table", item, origin, path),
        }
    }

    fn table(&mut self, table: &dyn TableLike, setting_path: &str, path: &str) -> Node {
        let allowed = settings::children(setting_path);
        let wildcard = allowed.iter().find(|name| name.starts_with('<'));
        let mut entries = IndexMap::new();
        for (name, _) in table.iter() {
            let Some((key, item)) = table.get_key_value(name) else {
                continue;
            };
            let child_path = settings::join(path, &path_segment(name));
            let child = match wildcard {
                Some(wildcard) => {
                    self.check_id(name, self.origin(key.span()), &child_path);
                    *wildcard
                }
                None if allowed.contains(&name) => name,
                None => {
                    self.unknown_key(key, &child_path, &allowed);
                    continue;
                }
            };
            let child_setting_path = settings::join(setting_path, child);
            let entry = self.entry(key, item, &child_setting_path, child_path);
            entries.insert(name.to_owned(), entry);
        }
        Node::Table(entries)
    }

    fn leaf(&mut self, item: &Item, setting: &Setting, origin: Origin, path: &str) -> Node {
        match setting.kind {
            SettingKind::Integer => self.integer(item, setting, origin, path),
            SettingKind::IdList => self.id_list(item, setting, origin, path),
            SettingKind::Id | SettingKind::InstitutionId | SettingKind::Map => {
                self.id(item, origin, path)
            }
        }
    }

    fn integer(&mut self, item: &Item, setting: &Setting, origin: Origin, path: &str) -> Node {
        let Some(value) = item.as_integer() else {
            return self.wrong_type("an integer", item, origin, path);
        };
        let bounds = setting.bounds;
        match u64::try_from(value) {
            Ok(value) if (bounds.min..=bounds.max).contains(&value) => Node::Integer(value),
            _ => {
                let message = format!("{value} is out of range; {}", allowed_range(setting));
                self.report.add(origin, path, message);
                Node::Invalid
            }
        }
    }

    fn id(&mut self, item: &Item, origin: Origin, path: &str) -> Node {
        match item.as_str() {
            Some(text) if self.check_id(text, origin, path) => Node::Id(text.to_owned()),
            Some(_) => Node::Invalid,
            None => self.wrong_type("a string", item, origin, path),
        }
    }

    fn id_list(&mut self, item: &Item, setting: &Setting, origin: Origin, path: &str) -> Node {
        let Some(array) = item.as_array() else {
            return self.wrong_type("an array of strings", item, origin, path);
        };
        let mut ids = Vec::new();
        for (index, value) in array.iter().enumerate() {
            let origin = self.origin(value.span());
            if let Some(id) = self.list_element(value, origin, &format!("{path}[{index}]"), &ids) {
                ids.push(id);
            }
        }
        let bounds = setting.bounds;
        if !(bounds.min..=bounds.max).contains(&(array.len() as u64)) {
            let message = format!(
                "It has {} elements; {}",
                array.len(),
                allowed_range(setting)
            );
            self.report.add(origin, path, message);
        }
        Node::IdList(ids)
    }

    fn list_element(
        &mut self,
        value: &Value,
        origin: Origin,
        path: &str,
        earlier: &[String],
    ) -> Option<String> {
        let Some(text) = value.as_str() else {
            let message = format!("A string is expected, found {}.", value.type_name());
            self.report.add(origin, path, message);
            return None;
        };
        if !self.check_id(text, origin, path) {
            return None;
        }
        if earlier.iter().any(|id| id == text) {
            let message = format!("`{text}` is already in the list.");
            self.report.add(origin, path, message);
            return None;
        }
        Some(text.to_owned())
    }

    fn check_id(&mut self, text: &str, origin: Origin, path: &str) -> bool {
        let valid = settings::is_id(text);
        if !valid {
            let message = format!(
                "{} is not an id; 1 to 64 characters of [A-Za-z0-9._-] are allowed.",
                quoted(text)
            );
            self.report.add(origin, path, message);
        }
        valid
    }

    fn unknown_key(&mut self, key: &Key, path: &str, allowed: &[&str]) {
        let message = format!("The key is unknown; allowed are {}.", allowed.join(", "));
        self.report.add(self.origin(key.span()), path, message);
    }

    fn wrong_type(&mut self, expected: &str, item: &Item, origin: Origin, path: &str) -> Node {
        let message = format!("Expected {expected}, found {}.", item.type_name());
        self.report.add(origin, path, message);
        Node::Invalid
    }

    fn origin(&self, span: Option<Range<usize>>) -> Origin {
        Origin {
            role: self.role,
            offset_bytes: span.map_or(0, |span| span.start),
        }
    }
}

fn allowed_range(setting: &Setting) -> String {
    let bounds = setting.bounds;
    format!(
        "allowed are {} to {} {}.",
        bounds.min, bounds.max, setting.unit
    )
}

/// Formats a key as in a dotted TOML path.
fn path_segment(key: &str) -> String {
    let bare = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-');
    if !key.is_empty() && key.len() <= MAX_QUOTED_CHARS && key.chars().all(bare) {
        key.to_owned()
    } else {
        quoted(key)
    }
}

/// Quotes a text and truncates it if it is long.
fn quoted(text: &str) -> String {
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{:?}", format!("{start}..."))
}
