//! The core's notes as events of the time line.

use std::sync::Arc;

use decision::agent::Note;
use decision::keys::FlowId;
use decision::message::Opening;
use settings::Code;
use telemetry::timeline::{Fields, Timeline, Value};

/// Puts a note into the time line.
pub(super) fn record(timeline: &Timeline, account: &Arc<str>, note: Note) {
    let (kind, fields) = match note {
        Note::Admitted(opening) => ("admitted", opened(opening)),
        Note::Assigned { opening, to } => ("assigned", opened(opening).with("to", Value::Id(to.0))),
        Note::Refused { opening, reason } => {
            let reason = Value::Static(Code::from(reason).name());
            ("refused", opened(opening).with("reason", reason))
        }
        Note::Ended(flow) => ("ended", of_flow(flow)),
        Note::Relearned(flow) => ("relearned", of_flow(flow)),
        Note::Adopted(flow) => ("adopted", of_flow(flow)),
        Note::PeerSuspected { upstream, suspected } => {
            let fields = Fields::default().with("peer", Value::Id(upstream.0));
            (if suspected { "peer_suspected" } else { "peer_back" }, fields)
        }
        Note::ViewInstalled(version) => {
            ("view_installed", Fields::default().with("version", Value::Number(version.0)))
        }
    };
    timeline.record(account.clone(), kind, fields);
}

fn of_flow(flow: FlowId) -> Fields {
    Fields::default().with("flow", Value::Id(flow.0))
}

fn opened(opening: Opening) -> Fields {
    of_flow(opening.flow).with("nonce", Value::Number(opening.nonce.into()))
}
