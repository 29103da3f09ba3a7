//! Converts the core's time-line entries into time-line events.

use std::sync::Arc;

use decision::agent::TimelineEntry;
use decision::keys::FlowId;
use decision::message::Opening;
use settings::Code;
use telemetry::timeline::{Fields, Timeline, Value};

/// Records an entry in the time line.
pub(super) fn record(timeline: &Timeline, account: &Arc<str>, entry: TimelineEntry) {
    let (kind, fields) = match entry {
        TimelineEntry::Admitted(opening) => ("admitted", opening_fields(opening)),
        TimelineEntry::Assigned { opening, to } => {
            ("assigned", opening_fields(opening).with("to", Value::Id(to.0)))
        }
        TimelineEntry::Refused { opening, reason } => {
            let reason = Value::Static(Code::from(reason).name());
            ("refused", opening_fields(opening).with("reason", reason))
        }
        TimelineEntry::Ended(flow) => ("ended", flow_fields(flow)),
        TimelineEntry::Relearned(flow) => ("relearned", flow_fields(flow)),
        TimelineEntry::Adopted(flow) => ("adopted", flow_fields(flow)),
        TimelineEntry::PeerSuspected { upstream, suspected } => {
            let fields = Fields::default().with("peer", Value::Id(upstream.0));
            (if suspected { "peer_suspected" } else { "peer_back" }, fields)
        }
        TimelineEntry::ViewInstalled(version) => {
            ("view_installed", Fields::default().with("version", Value::Number(version.0)))
        }
    };
    timeline.record(account.clone(), kind, fields);
}

fn flow_fields(flow: FlowId) -> Fields {
    Fields::default().with("flow", Value::Id(flow.0))
}

fn opening_fields(opening: Opening) -> Fields {
    flow_fields(opening.flow).with("nonce", Value::Number(opening.nonce.into()))
}
