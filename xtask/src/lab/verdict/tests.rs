//! Verdicts on synthetic records of a run. Every check must be able to fail.

use rstest::rstest;
use standins::caller::{Incident, Kind, Outcome, Report};
use standins::protocol::RequestId;
use standins::upstream::{Event, Row};

use super::super::figures::Figures;
use super::super::journal::{Drain, InForce, Journal, Load, Publication};
use super::super::scenario::PhaseKind;
use super::{Evidence, LedgerEntry, RunInfo, judge};

const CLIENT: &str = "198.18.1.1:10000";
const REQUEST: RequestId = RequestId(7);
/// Start of the faults; all changes before it are planned.
const FAULTS_AT_MS: u64 = 10_000;
/// Nothing may fail from here on.
const RECOVERED_AT_MS: u64 = 30_000;

fn evidence() -> Evidence {
    let journal = Journal {
        phases: vec![
            (0, PhaseKind::Planned),
            (FAULTS_AT_MS, PhaseKind::Fault),
            (RECOVERED_AT_MS, PhaseKind::Recovered),
        ],
        ..Journal::default()
    };
    let report = Report { flows_opened: 1_000, is_idle: true, ..Report::default() };
    Evidence { journal, ledger: Vec::new(), reports: vec![report], reads_per_s_max: 0 }
}

fn verdict(evidence: &Evidence) -> Figures {
    judge(RunInfo { scenario: "quick", seed: 1, duration_ms: 1, mutant: None }, evidence)
}

fn entry(upstream: &str, at_ms: u64, event: Event) -> LedgerEntry {
    LedgerEntry { upstream: upstream.to_owned(), row: Row { at_ms, event } }
}

fn run() -> Event {
    Event::Run { request: REQUEST, client: CLIENT.parse().unwrap() }
}

fn open() -> Event {
    Event::Open { client: CLIENT.parse().unwrap() }
}

fn incident(outcome: Outcome, since_ms: u64, at_ms: u64) -> Incident {
    Incident {
        at_ms,
        since_ms,
        service: "shelf".into(),
        upstream: Some("shelf-1".into()),
        client: CLIENT.parse().unwrap(),
        kind: Kind::Feed,
        request: REQUEST,
        outcome,
        established: true,
        answer_missing: false,
    }
}

#[test]
fn clean_run_passes() {
    let figures = verdict(&evidence());
    assert_eq!(figures.failures, Vec::<String>::new());
    assert!(figures.pass);
}

#[rstest]
#[case::reset_in_planned(Outcome::Reset, 9_000, 9_999, [1, 0])]
#[case::reset_in_faults(Outcome::Reset, 9_000, 10_000, [0, 1])]
#[case::stalled_since_planned(Outcome::Stalled, 9_000, 19_000, [1, 0])]
#[case::stalled_since_faults(Outcome::Stalled, 11_000, 21_000, [0, 1])]
#[case::closed_early(Outcome::Closed, 9_000, 9_000, [1, 0])]
#[case::corrupt(Outcome::Corrupt, 9_000, 9_000, [1, 0])]
fn broken_flow_counts_for_its_phase(
    #[case] outcome: Outcome,
    #[case] since_ms: u64,
    #[case] at_ms: u64,
    #[case] expected: [u64; 2],
) {
    let mut evidence = evidence();
    evidence.reports[0].incidents = vec![incident(outcome, since_ms, at_ms)];
    let figures = verdict(&evidence);
    let found = [figures.flows_broken_by_planned_change, figures.flows_broken_by_faults];
    assert_eq!(found, expected);
    assert!(!figures.pass);
}

/// Only flows that were open at the upstream when the lab killed it count as lost with it.
#[rstest]
#[case::open_there("shelf-1", 11_000, 1)]
#[case::open_elsewhere("shelf-2", 11_000, 0)]
#[case::opened_after_the_kill("shelf-1", 12_500, 0)]
fn flow_lost_with_killed_upstream(
    #[case] holder: &str,
    #[case] opened_at_ms: u64,
    #[case] expected: u64,
) {
    let mut evidence = evidence();
    evidence.journal.killed = vec![("shelf-1".to_owned(), 12_000)];
    evidence.ledger = vec![entry(holder, opened_at_ms, open())];
    evidence.reports[0].incidents = vec![incident(Outcome::Reset, 12_000, 13_000)];
    let figures = verdict(&evidence);
    assert_eq!(figures.flows_lost_with_killed_upstreams, expected);
    assert_eq!(figures.flows_broken_by_faults, 1 - expected);
    assert_eq!(figures.pass, expected == 1);
}

#[rstest]
#[case::once(vec![entry("shelf-1", 1, run())], [0, 0])]
#[case::twice_at_one(vec![entry("shelf-1", 1, run()), entry("shelf-1", 2, run())], [1, 0])]
#[case::twice_at_two(vec![entry("shelf-1", 1, run()), entry("shelf-2", 2, run())], [1, 0])]
#[case::misdelivered(
    vec![entry("shelf-1", 1, Event::Misdelivered { destination: CLIENT.parse().unwrap() })],
    [0, 1],
)]
fn ledger_counts(#[case] ledger: Vec<LedgerEntry>, #[case] expected: [u64; 2]) {
    let figures = verdict(&Evidence { ledger, ..evidence() });
    assert_eq!([figures.requests_run_twice, figures.packets_misdelivered], expected);
    assert_eq!(figures.pass, expected == [0, 0]);
}

#[rstest]
#[case::not_run(vec![], 0)]
#[case::run_despite_refusal(vec![entry("shelf-1", 1, run())], 1)]
fn refused_request(#[case] ledger: Vec<LedgerEntry>, #[case] expected: u64) {
    let mut evidence = Evidence { ledger, ..evidence() };
    evidence.reports[0].requests_refused = vec![REQUEST];
    let figures = verdict(&evidence);
    assert_eq!(figures.requests_refused_but_run, expected);
    assert_eq!(figures.pass, expected == 0);
}

#[rstest]
#[case::within_grace(4_000, None, 0)]
#[case::after_grace(4_001, None, 1)]
#[case::after_the_drain(4_001, Some(4_001), 0)]
fn opening_to_leaving(#[case] at_ms: u64, #[case] until_ms: Option<u64>, #[case] expected: u64) {
    let mut evidence = evidence();
    let drain = Drain { upstream: "shelf-1".to_owned(), from_ms: 1_000, until_ms };
    evidence.journal.drains = vec![drain];
    evidence.ledger = vec![entry("shelf-1", at_ms, open()), entry("shelf-2", at_ms, open())];
    let figures = verdict(&evidence);
    assert_eq!(figures.openings_to_leaving_after_3s, expected);
    assert_eq!(figures.pass, expected == 0);
}

#[rstest]
#[case::feed(Kind::Feed, Outcome::Refused, 1, true)]
#[case::unanswered(Kind::Confirm, Outcome::Unanswered, 1, true)]
#[case::too_many(Kind::Confirm, Outcome::Refused, 11, false)]
#[case::datagram_refused(Kind::Datagram, Outcome::Refused, 11, true)]
#[case::datagram_unanswered(Kind::Datagram, Outcome::Unanswered, 1, false)]
fn failed_openings(
    #[case] kind: Kind,
    #[case] outcome: Outcome,
    #[case] count: usize,
    #[case] pass: bool,
) {
    let mut evidence = evidence();
    let one = Incident { kind, established: false, ..incident(outcome, 1, 1) };
    evidence.reports[0].incidents = vec![one; count];
    assert_eq!(verdict(&evidence).pass, pass);
}

#[rstest]
#[case::opening_in_faults(Kind::Confirm, Outcome::Unanswered, 29_999, true)]
#[case::opening_refused(Kind::Confirm, Outcome::Refused, 30_000, false)]
#[case::opening_unanswered(Kind::Feed, Outcome::Unanswered, 30_000, false)]
#[case::datagram(Kind::Datagram, Outcome::Unanswered, 30_000, false)]
fn opening_after_recovery(
    #[case] kind: Kind,
    #[case] outcome: Outcome,
    #[case] at_ms: u64,
    #[case] pass: bool,
) {
    let mut evidence = evidence();
    let one = Incident { kind, established: false, ..incident(outcome, at_ms, at_ms) };
    evidence.reports[0].incidents = vec![one];
    let figures = verdict(&evidence);
    assert_eq!(figures.openings_failed_after_recovery, u64::from(!pass));
    assert_eq!(figures.pass, pass);
}

#[test]
fn missing_answer_fails() {
    let mut evidence = evidence();
    let one = Incident { answer_missing: true, ..incident(Outcome::Reset, 1, 1) };
    evidence.reports[0].incidents = vec![one];
    assert_eq!(verdict(&evidence).answers_incomplete, 1);
}

fn in_force(instance: &str, version: u64, at_ms: u64) -> InForce {
    let (instance, account) = (instance.to_owned(), "cascadia".to_owned());
    InForce { instance, account, version, at_ms }
}

#[rstest]
#[case::fast(1_400, None, 400, true)]
#[case::slow(6_001, None, 5_001, false)]
#[case::disturbed(6_001, Some(900), 0, true)]
fn settings_in_force(
    #[case] at_ms: u64,
    #[case] disturbed_at_ms: Option<u64>,
    #[case] expected_ms: u64,
    #[case] pass: bool,
) {
    let mut evidence = evidence();
    let publication = Publication { account: "cascadia", version: 2, at_ms: 1_000 };
    evidence.journal.publications = vec![publication];
    evidence.journal.in_force = vec![in_force("bal-1", 1, 500), in_force("bal-1", 2, at_ms)];
    evidence.journal.disturbed =
        disturbed_at_ms.map(|at| ("bal-1".to_owned(), at)).into_iter().collect();
    let figures = verdict(&evidence);
    assert_eq!(figures.settings_in_force_ms_p99, expected_ms);
    assert_eq!(figures.pass, pass);
}

#[rstest]
#[case::reverted(|journal: &mut Journal| journal.reverted.push("bal-1".to_owned()))]
#[case::lagging(|journal: &mut Journal| journal.lagging.push("bal-1".to_owned()))]
#[case::unclean_exit(|journal: &mut Journal| journal.unclean_exits.push("bal-1".to_owned()))]
fn recorded_fault_fails(#[case] record_fault: fn(&mut Journal)) {
    let mut evidence = evidence();
    record_fault(&mut evidence.journal);
    assert!(verdict(&evidence).failures.contains(&"bal-1".to_owned()));
}

#[rstest]
#[case::nothing_opened(Report { is_idle: true, ..Report::default() })]
#[case::in_flight(Report { flows_opened: 1_000, ..Report::default() })]
fn run_with_too_little_load_fails(#[case] report: Report) {
    assert!(!verdict(&Evidence { reports: vec![report], ..evidence() }).pass);
}

#[test]
fn imbalance_leaves_drained_upstreams_out() {
    let mut evidence = evidence();
    let open = [("shelf-1", 30), ("shelf-2", 10), ("shelf-3", 0)];
    let open = open.map(|(name, open)| (name.to_owned(), open)).to_vec();
    evidence.journal.loads = vec![Load { service: "shelf", open }];
    evidence.journal.drains =
        vec![Drain { upstream: "shelf-3".to_owned(), from_ms: 0, until_ms: None }];
    assert_eq!(verdict(&evidence).imbalance_max_over_mean["shelf"], 1.5);
}
