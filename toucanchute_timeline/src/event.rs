use std::fmt;

use toucanchute_log::HybridTimestamp;

/// One run of a process. Each has its own lane in the HTML page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Host on which the process ran.
    pub host: String,
    /// Kind of process, such as `router`.
    pub kind: String,
    /// Incarnation, or `-` if the log has none.
    pub incarnation: String,
}

/// Logged event of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Hybrid logical timestamp of the event.
    pub stamp: HybridTimestamp,
    /// Sequence number of the event within its process.
    pub seq: u64,
    /// Process that logged the event.
    pub process: Process,
    /// Log level, such as `info`; empty if the line has none.
    pub level: String,
    /// Name of the event, such as `request-settled`.
    pub name: String,
    /// All other key=value pairs, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Returns the value of the first field named `key`.
    #[must_use]
    pub fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(k, _)| k == key)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the time of the event in milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        let text = self.stamp.to_string();
        let ms = text.split('.').next().unwrap_or_default();
        ms.parse().unwrap_or_default()
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.kind)
    }
}
