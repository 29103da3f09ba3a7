//! Confirmations in one datagram that await their answer. They are never retransmitted.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;

use super::{Incident, Kind, Outcome, Report, Workload};
use crate::datagram;
use crate::protocol::{Answer, Request, RequestId};

/// The datagrams that await an answer, sorted by client address.
#[derive(Debug, Default)]
pub(super) struct PendingDatagrams {
    pending: Vec<(SocketAddr, Pending)>,
}

#[derive(Debug)]
struct Pending {
    id: RequestId,
    service: Arc<str>,
    sent_at: Millis,
}

impl PendingDatagrams {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn send(
        &mut self,
        now: Millis,
        client: SocketAddr,
        id: RequestId,
        work: &Workload,
        out: &mut Vec<Vec<u8>>,
    ) {
        let Some(remote) = work.datagram_address else { return };
        let Err(position) = self.find(client) else { return };
        let pending = Pending { id, service: Arc::clone(&work.service), sent_at: now };
        self.pending.insert(position, (client, pending));
        out.push(datagram::build_udp(client, remote, Request::Confirm(id).to_string().as_bytes()));
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Millis,
        client: SocketAddr,
        payload: &[u8],
        report: &mut Report,
    ) {
        let Ok(position) = self.find(client) else { return };
        let answer = Answer::parse(std::str::from_utf8(payload).unwrap_or_default());
        let pending = &self.pending[position].1;
        let outcome = match answer {
            // A late duplicate of the answer to an earlier request from the same port.
            Ok(Answer::Confirmed(id, _) | Answer::Shed(id)) if id != pending.id => return,
            Ok(Answer::Confirmed(_, responder)) if responder.service == pending.service => {
                report.record_answer(now, pending.sent_at);
                self.pending.remove(position);
                return;
            }
            Ok(Answer::Confirmed(..)) => Outcome::WrongService,
            Ok(Answer::Shed(_)) => Outcome::Shed,
            _ => Outcome::Corrupt,
        };
        self.fail(now, position, outcome, report);
    }

    pub(super) fn handle_unreachable(
        &mut self,
        now: Millis,
        client: SocketAddr,
        report: &mut Report,
    ) {
        if let Ok(position) = self.find(client) {
            self.fail(now, position, Outcome::Refused, report);
        }
    }

    pub(super) fn expire(&mut self, now: Millis, timeout_ms: u64, report: &mut Report) {
        let is_late =
            |(_, pending): &(SocketAddr, Pending)| now.since(pending.sent_at) >= timeout_ms;
        while let Some(position) = self.pending.iter().position(is_late) {
            self.fail(now, position, Outcome::Unanswered, report);
        }
    }

    fn fail(&mut self, now: Millis, position: usize, outcome: Outcome, report: &mut Report) {
        let (client, pending) = self.pending.remove(position);
        report.add_incident(Incident {
            at_ms: now.0,
            since_ms: pending.sent_at.0,
            service: pending.service,
            upstream: None,
            client,
            kind: Kind::Datagram,
            request: pending.id,
            outcome,
            established: false,
            answer_missing: outcome == Outcome::Unanswered,
        });
    }

    fn find(&self, client: SocketAddr) -> Result<usize, usize> {
        self.pending.binary_search_by(|(known, _)| known.cmp(&client))
    }
}
