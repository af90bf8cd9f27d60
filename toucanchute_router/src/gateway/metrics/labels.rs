//! Label sets of the metrics. Their fields are written out under their own names.

use prometheus_client::encoding::EncodeLabelSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) status: u16,
    pub(super) outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StoreCallLabels {
    pub(super) kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AttemptLabels {
    pub(super) end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct NoticeLabels {
    pub(super) word: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TakeUpLabels {
    /// Whether it is known what began the stream, or why not.
    pub(super) origin: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StreamCopyLabels {
    pub(super) result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ResponseLabels {
    pub(super) status: u16,
    pub(super) names: &'static str,
    pub(super) not_run: &'static str,
    pub(super) connection: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ConnectionLabels {
    pub(super) state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ConnectionEndLabels {
    pub(super) end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct StandingLabels {
    pub(super) standing: &'static str,
    pub(super) source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct DomainLabels {
    pub(super) failure_domain: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ColdLabels {
    pub(super) cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReservationLabels {
    /// Whether it is the first part of its request or a further one.
    pub(super) part: &'static str,
    pub(super) result: &'static str,
}
