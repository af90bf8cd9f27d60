use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::Value;
use toucanchute_proto::config::Config;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
#[non_exhaustive]
pub enum Change {
    /// A section that only the new configuration has.
    Added {
        /// Header of the section.
        section: String,
    },
    /// A section that only the old configuration has.
    Removed {
        /// Header of the section.
        section: String,
    },
    /// A value that differs.
    Changed {
        /// Header of the section.
        section: String,
        /// Field within the section.
        key: String,
        /// Old value.
        old: String,
        /// New value.
        new: String,
    },
}

/// Returns the differences between two configurations in the order of their sections, without those
/// of the versions.
///
/// ```
/// # use toucanchute_proto::config::Config;
/// # let json = r#"{"version":0,"site":"north","routing":{},"ledger":{}}"#;
/// # let old: Config = serde_json::from_str(json).unwrap();
/// let mut new = old.clone();
/// new.ledger.acks = 3;
/// let changes = toucanchute_ctl::diff(&old, &new);
/// assert_eq!(changes[0].to_string(), "~ [ledger] acks: 2 -> 3");
/// ```
#[must_use]
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (sections(old), sections(new));
    let mut changes = Vec::new();
    for (header, fields) in &old {
        let section = header.clone();
        match new.get(header) {
            None => changes.push(Change::Removed { section }),
            Some(other) => diff_fields(header, fields, other, &mut changes),
        }
    }
    let added = new.keys().filter(|header| !old.contains_key(*header));
    changes.extend(added.map(|header| Change::Added {
        section: header.clone(),
    }));
    changes
}

fn diff_fields(header: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let empty = serde_json::Map::new();
    let old = old.as_object().unwrap_or(&empty);
    let new = new.as_object().unwrap_or(&empty);
    for key in old
        .keys()
        .chain(new.keys().filter(|k| !old.contains_key(*k)))
    {
        let (from, to) = (old.get(key), new.get(key));
        if from != to {
            changes.push(Change::Changed {
                section: header.to_owned(),
                key: key.clone(),
                old: text(from),
                new: text(to),
            });
        }
    }
}

/// Returns the fields of each section, by the section's header.
fn sections(cfg: &Config) -> BTreeMap<String, Value> {
    let mut sections = BTreeMap::new();
    let evacuated = cfg.evacuated_domains.join(", ");
    let site = match evacuated.is_empty() {
        true => serde_json::json!({ "name": cfg.site }),
        false => serde_json::json!({ "name": cfg.site, "evacuated": evacuated }),
    };
    sections.insert("site".to_owned(), site);
    let mut insert = |header: String, fields: Option<Value>| {
        sections.insert(header, fields.unwrap_or_default());
    };
    insert("routing".to_owned(), fields(&cfg.routing));
    insert("ledger".to_owned(), fields(&cfg.ledger));
    for m in &cfg.models {
        insert(format!("model {}", m.name), fields(m));
    }
    for s in &cfg.services {
        insert(format!("service {}", s.name), fields(s));
    }
    for p in &cfg.pools {
        insert(format!("pool {}", p.name), fields(p));
    }
    for b in &cfg.backends {
        insert(format!("backend {}", b.name), fields(b));
    }
    for b in &cfg.budgets {
        insert(format!("budget {}", b.name), fields(b));
    }
    for c in &cfg.customers {
        insert(format!("customer {}", c.name), fields(c));
    }
    sections
}

fn fields(section: &impl Serialize) -> Option<Value> {
    serde_json::to_value(section).ok()
}

fn text(value: Option<&Value>) -> String {
    match value {
        None => "-".to_owned(),
        Some(Value::String(s)) => s.clone(),
        Some(other) => other.to_string(),
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added { section } => write!(f, "+ [{section}]"),
            Change::Removed { section } => write!(f, "- [{section}]"),
            Change::Changed {
                section,
                key,
                old,
                new,
            } => write!(f, "~ [{section}] {key}: {old} -> {new}"),
        }
    }
}
