//! A caller and an upstream connected directly, without sockets and with injected time.

use std::net::SocketAddr;

use decision::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;
use standins::caller::{Caller, CallerConfig, Outcome, Report, Workload};
use standins::protocol::RequestId;
use standins::upstream::{Event, Switches, Upstream, UpstreamConfig};

const SERVICE: &str = "203.0.113.1:8443";
const DATAGRAMS: &str = "203.0.113.1:9443";
const STALL_MS: u64 = 5_000;

/// Caller and upstream, and the faults of the wire between them.
struct Wire {
    caller: Caller,
    upstream: Upstream,
    now: Millis,
    /// Loses one packet in this many, at random; 0 for none.
    loss_one_in: u32,
    /// Duplicates one packet in this many, at random; 0 for none.
    duplicate_one_in: u32,
    /// Loses all packets in both directions.
    cut: bool,
    random: Pcg64,
}

impl Wire {
    fn new() -> Self {
        let clients = vec!["198.18.0.1".parse().unwrap(), "198.18.0.2".parse().unwrap()];
        let caller = CallerConfig { clients, number: 1, seed: 7, stall_ms: STALL_MS };
        let responder = UpstreamConfig::responder("shelf", "shelf-1");
        let endpoints = vec![address(SERVICE), address(DATAGRAMS)];
        let upstream = UpstreamConfig { responder, endpoints, seed: 8 };
        Self {
            caller: Caller::new(caller),
            upstream: Upstream::new(upstream, Millis(0)),
            now: Millis(0),
            loss_one_in: 0,
            duplicate_one_in: 0,
            cut: false,
            random: Pcg64::seed_from_u64(9),
        }
    }

    fn with_workload(workload: Workload) -> Self {
        let mut wire = Self::new();
        wire.caller.set_workloads(Millis(0), vec![workload]);
        wire
    }

    /// Runs for `ms` milliseconds in steps of one millisecond.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now.after(1);
            let mut out = Vec::new();
            self.caller.poll(self.now, &mut out);
            for packet in self.transmit(out) {
                self.upstream.handle_packet(self.now, &packet);
            }
            let mut out = Vec::new();
            self.upstream.poll(self.now, &mut out);
            for packet in self.transmit(out) {
                self.caller.handle_packet(self.now, &packet);
            }
        }
    }

    fn stop(&mut self) -> Report {
        self.caller.stop(self.now);
        self.run(STALL_MS);
        self.caller.report(self.now)
    }

    fn transmit(&mut self, packets: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
        let mut delivered = Vec::new();
        for packet in packets {
            if self.cut || self.happens(self.loss_one_in) {
                continue;
            }
            if self.happens(self.duplicate_one_in) {
                delivered.push(packet.clone());
            }
            delivered.push(packet);
        }
        delivered
    }

    fn happens(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.random.random_range(0..one_in) == 0
    }

    fn runs(&self) -> Vec<RequestId> {
        let rows = self.upstream.ledger().rows().iter();
        let mut runs: Vec<_> = rows
            .filter_map(|row| match row.event {
                Event::Run { request, .. } => Some(request),
                _ => None,
            })
            .collect();
        runs.sort_unstable();
        runs
    }
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn idle_workload() -> Workload {
    Workload {
        service: "shelf".into(),
        address: address(SERVICE),
        feeds: 0,
        feed_interval_ms: 50,
        feed_confirm_interval_ms: 300,
        confirms_per_s: 0,
        fetches_per_s: 0,
        fetch_bytes: 30_000,
        datagram_address: Some(address(DATAGRAMS)),
        datagrams_per_s: 0,
    }
}

fn mixed_workload() -> Workload {
    Workload { feeds: 5, confirms_per_s: 20, fetches_per_s: 5, ..idle_workload() }
}

#[rstest]
#[case::clean(0, 0)]
#[case::loss(23, 0)]
#[case::duplication(0, 11)]
#[case::loss_and_duplication(29, 13)]
fn every_answer_is_complete(#[case] loss_one_in: u32, #[case] duplicate_one_in: u32) {
    let mut wire = Wire::with_workload(mixed_workload());
    (wire.loss_one_in, wire.duplicate_one_in) = (loss_one_in, duplicate_one_in);
    wire.run(3_000);
    let report = wire.stop();
    assert_eq!(report.incidents, []);
    assert!(report.is_idle);
    assert!(report.flows_opened > 50, "{}", report.flows_opened);
    assert!(report.lines_received > 100, "{}", report.lines_received);
    let mut runs = wire.runs();
    let count = runs.len();
    runs.dedup();
    assert_eq!(runs.len(), count);
}

/// A datagram that the network duplicates runs twice at the upstream and must appear twice in its
/// ledger, although the caller ignores the second answer. The lab counts such requests in
/// `requests_run_twice`.
#[test]
fn duplicated_datagram_runs_twice() {
    let mut wire = Wire::with_workload(Workload { datagrams_per_s: 50, ..idle_workload() });
    wire.duplicate_one_in = 1;
    wire.run(1_000);
    let runs = wire.runs();
    assert!(runs.len() > 20);
    assert!(runs.chunks(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(wire.stop().incidents, []);
}

#[rstest]
#[case::feed(Workload { feeds: 3, ..idle_workload() }, Outcome::Stalled)]
#[case::confirm(Workload { datagrams_per_s: 20, ..idle_workload() }, Outcome::Unanswered)]
fn cut_wire_is_detected(#[case] workload: Workload, #[case] outcome: Outcome) {
    let mut wire = Wire::with_workload(workload);
    wire.run(500);
    wire.cut = true;
    wire.run(2 * STALL_MS);
    let report = wire.caller.report(wire.now);
    assert!(report.incidents.iter().any(|incident| incident.outcome == outcome));
}

/// Feeds continue after an outage that is shorter than the caller's stall time-out, because TCP
/// retransmits on both ends. The caller must report no incident.
#[test]
fn connections_survive_a_short_outage() {
    let mut wire = Wire::with_workload(mixed_workload());
    wire.run(1_000);
    wire.cut = true;
    wire.run(1_500);
    wire.cut = false;
    wire.run(6_000);
    assert_eq!(wire.stop().incidents, []);
}

/// An upstream that is replaced by a new process knows none of the earlier connections. It must
/// reset them, as a host does, and the caller must report the resets.
#[test]
fn restarted_upstream_resets_connections() {
    let mut wire = Wire::with_workload(Workload { feeds: 4, ..idle_workload() });
    wire.run(1_000);
    wire.upstream = Wire::new().upstream;
    wire.caller.set_workloads(wire.now, Vec::new());
    wire.run(2_000);
    let report = wire.caller.report(wire.now);
    let count_outcomes = |outcome| report.incidents.iter().filter(|i| i.outcome == outcome).count();
    assert_eq!(count_outcomes(Outcome::Reset), 4);
    assert!(wire.upstream.stats().resets_sent >= 4);
}

#[test]
fn shedding_upstream_runs_nothing() {
    let mut wire = Wire::with_workload(Workload {
        confirms_per_s: 20,
        datagrams_per_s: 20,
        ..idle_workload()
    });
    wire.upstream.set_switches(Millis(0), Switches { shedding: true, ..Switches::default() });
    wire.run(1_000);
    let report = wire.stop();
    assert!(report.requests_refused.len() > 20);
    assert!(report.incidents.iter().all(|incident| incident.outcome == Outcome::Shed));
    assert_eq!(wire.runs(), []);
}

/// An upstream counts packets for addresses outside of its service and doesn't answer them.
#[test]
fn misdelivered_packets_are_counted() {
    let workload =
        Workload { confirms_per_s: 10, address: address("203.0.113.99:80"), ..idle_workload() };
    let mut wire = Wire::with_workload(workload);
    wire.run(1_000);
    assert!(wire.upstream.stats().packets_misdelivered > 5);
    assert_eq!(wire.caller.report(wire.now).flows_opened, 0);
}

/// The caller must detect answers from an upstream of another service.
#[test]
fn wrong_service_is_detected() {
    let mut wire = Wire::with_workload(Workload { confirms_per_s: 10, ..idle_workload() });
    let responder = UpstreamConfig::responder("fitting", "fitting-1");
    let endpoints = vec![address(SERVICE)];
    wire.upstream = Upstream::new(UpstreamConfig { responder, endpoints, seed: 8 }, Millis(0));
    wire.run(1_000);
    let report = wire.stop();
    assert!(report.incidents.len() > 3);
    assert!(report.incidents.iter().all(|incident| incident.outcome == Outcome::WrongService));
}

#[test]
fn ended_feeds_are_complete() {
    let mut wire = Wire::with_workload(Workload { feeds: 6, ..idle_workload() });
    wire.run(1_000);
    wire.caller.end_feeds(wire.now, Some("shelf-1"));
    wire.caller.set_workloads(wire.now, Vec::new());
    wire.run(500);
    let report = wire.caller.report(wire.now);
    assert_eq!((report.feeds_open, report.incidents), (0, vec![]));
    wire.run(2_000);
    assert_eq!(wire.upstream.stats().open_connections, 0);
}
