//! One-datagram confirmations that wait for their answer. None is ever sent twice.

use std::net::SocketAddr;
use std::sync::Arc;

use decision::time::Millis;

use super::{Incident, Kind, Outcome, Report, Workload};
use crate::datagram;
use crate::protocol::{Answer, Request, RequestId};

/// Sorted by client.
#[derive(Debug, Default)]
pub(super) struct Datagrams {
    waiting: Vec<(SocketAddr, Waiting)>,
}

#[derive(Debug)]
struct Waiting {
    id: RequestId,
    service: Arc<str>,
    sent_at: Millis,
}

impl Datagrams {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
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
        let Err(place) = self.find(client) else { return };
        let waiting = Waiting { id, service: Arc::clone(&work.service), sent_at: now };
        self.waiting.insert(place, (client, waiting));
        out.push(datagram::udp(client, remote, Request::Confirm(id).to_string().as_bytes()));
    }

    pub(super) fn answer(
        &mut self,
        now: Millis,
        client: SocketAddr,
        payload: &[u8],
        report: &mut Report,
    ) {
        let Ok(place) = self.find(client) else { return };
        let answer = Answer::parse(std::str::from_utf8(payload).unwrap_or_default());
        let waiting = &self.waiting[place].1;
        let outcome = match answer {
            // A late copy of the answer to an earlier request from the same port.
            Ok(Answer::Confirmed(id, _) | Answer::Shed(id)) if id != waiting.id => return,
            Ok(Answer::Confirmed(_, responder)) if responder.service == waiting.service => {
                report.answered(now, waiting.sent_at);
                self.waiting.remove(place);
                return;
            }
            Ok(Answer::Confirmed(..)) => Outcome::WrongService,
            Ok(Answer::Shed(_)) => Outcome::Shed,
            _ => Outcome::Corrupt,
        };
        self.end(now, place, outcome, report);
    }

    pub(super) fn refuse(&mut self, now: Millis, client: SocketAddr, report: &mut Report) {
        if let Ok(place) = self.find(client) {
            self.end(now, place, Outcome::Refused, report);
        }
    }

    pub(super) fn expire(&mut self, now: Millis, timeout_ms: u64, report: &mut Report) {
        let is_late =
            |(_, waiting): &(SocketAddr, Waiting)| now.since(waiting.sent_at) >= timeout_ms;
        while let Some(place) = self.waiting.iter().position(is_late) {
            self.end(now, place, Outcome::Unanswered, report);
        }
    }

    fn end(&mut self, now: Millis, place: usize, outcome: Outcome, report: &mut Report) {
        let (client, waiting) = self.waiting.remove(place);
        report.add(Incident {
            at_ms: now.0,
            since_ms: waiting.sent_at.0,
            service: waiting.service,
            upstream: None,
            client,
            kind: Kind::Datagram,
            request: waiting.id,
            outcome,
            established: false,
            answer_missing: outcome == Outcome::Unanswered,
        });
    }

    fn find(&self, client: SocketAddr) -> Result<usize, usize> {
        self.waiting.binary_search_by(|(known, _)| known.cmp(&client))
    }
}
