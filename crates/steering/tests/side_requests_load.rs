//! Load beside one upstream whose callers give up, replayed through an agent.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use common::agent::{SLO_MS, answer, metadata, opening_answer};
use common::{SERVICE, closing, data, opening};
use rstest::rstest;
use steering::flow::{Millis, Segment, SegmentKind};
use steering::side::{AgentCore, Delivery};

const SLOTS: u8 = 2;
const SERVICE_MS: Millis = 40;
/// Callers send a request every five milliseconds, four times what the upstream can process.
const INTERVAL_MS: Millis = 5;
/// How long the agent assumes that callers wait.
const WAIT_MS: Millis = 6 * SLO_MS as Millis;
const LOAD_MS: Millis = 6_000;
/// Callers retransmit unanswered packets this long after the first one.
const RETRANSMISSIONS_MS: [Millis; 2] = [200, 600];
/// The agent counts a request whose answer is lost for at most this long, until the next sweep.
const BUSY_MAX_MS: Millis = 3_000 + 1_000;

/// How callers give up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Fin,
    /// The first FIN is lost, and repeated after 200 ms.
    FinLost,
    /// A retransmitted packet of the request arrives 5 ms after the FIN.
    FinOvertakes,
    Reset,
    /// The caller sends nothing more.
    Vanish,
}

/// An upstream that processes requests in order of arrival, and discards those of flows that their
/// callers have ended.
#[derive(Default)]
struct Upstream {
    known: BTreeSet<u16>,
    ended: BTreeSet<u16>,
    waiting: VecDeque<u16>,
    running: BTreeMap<u16, Millis>,
    /// When requests were discarded that the caller ended only after they had arrived here.
    discarded_ms: Vec<Millis>,
}

impl Upstream {
    fn receive(&mut self, segment: &Segment) {
        let number = segment.flow.caller.port();
        if segment.last || segment.kind == SegmentKind::Reset {
            self.ended.insert(number);
        } else if segment.data_bytes > 0
            && !self.ended.contains(&number)
            && self.known.insert(number)
        {
            self.waiting.push_back(number);
        }
    }

    /// Starts requests and returns those that are answered now.
    fn run(&mut self, now_ms: Millis) -> Vec<u16> {
        let done: Vec<u16> = self
            .running
            .extract_if(.., |_, by_ms| *by_ms <= now_ms)
            .map(|(number, _)| number)
            .collect();
        while self.running.len() < usize::from(SLOTS) {
            let Some(number) = self.waiting.pop_front() else { break };
            if self.ended.contains(&number) {
                self.discarded_ms.push(now_ms);
            } else {
                self.running.insert(number, now_ms + SERVICE_MS);
            }
        }
        done
    }

    /// The largest number of places that may be counted: requests that are here, and those that
    /// were discarded here after they had been passed on in time.
    fn places(&self, now_ms: Millis) -> usize {
        let recent = |at_ms: &&Millis| now_ms - **at_ms < BUSY_MAX_MS;
        self.running.len() + self.waiting.len() + self.discarded_ms.iter().filter(recent).count()
    }
}

struct World {
    agent: AgentCore,
    upstream: Upstream,
    /// Packets of callers, by the time of their arrival.
    packets: BTreeMap<Millis, Vec<Segment>>,
    gone_ms: BTreeMap<u16, Millis>,
    /// Requests that ran although their callers had gone.
    in_vain: Vec<u16>,
    /// When requests were first passed to the upstream.
    passed_ms: BTreeMap<u16, Millis>,
    answered: Vec<u16>,
}

impl World {
    fn new() -> Self {
        Self {
            agent: AgentCore::new(SERVICE),
            upstream: Upstream::default(),
            packets: BTreeMap::new(),
            gone_ms: BTreeMap::new(),
            in_vain: Vec::new(),
            passed_ms: BTreeMap::new(),
            answered: Vec::new(),
        }
    }

    fn send(&mut self, at_ms: Millis, segment: Segment) {
        self.packets.entry(at_ms).or_default().push(segment);
    }

    /// Adds a caller that gives up after `patience_ms`.
    fn add_caller(&mut self, number: u16, at_ms: Millis, patience_ms: Millis, end: End) {
        self.send(at_ms, opening(number, 0));
        self.send(at_ms + 1, data(number, 1));
        for offset_ms in RETRANSMISSIONS_MS.into_iter().filter(|offset_ms| *offset_ms < patience_ms)
        {
            self.send(at_ms + 1 + offset_ms, data(number, 1));
        }
        let gone_ms = at_ms + patience_ms;
        self.gone_ms.insert(number, gone_ms);
        let fin = closing(number, 101);
        match end {
            End::Fin => self.send(gone_ms, fin),
            End::FinLost => self.send(gone_ms + 200, fin),
            End::FinOvertakes => {
                self.send(gone_ms, fin);
                self.send(gone_ms + 5, data(number, 1));
            }
            End::Reset => {
                self.send(
                    gone_ms,
                    Segment { kind: SegmentKind::Reset, data_bytes: 0, ..data(number, 101) },
                );
            }
            End::Vanish => {}
        }
    }

    /// Runs one millisecond.
    fn step(&mut self, now_ms: Millis) {
        for number in self.upstream.run(now_ms) {
            if self.gone_ms[&number] <= now_ms {
                self.in_vain.push(number);
            } else {
                self.answered.push(number);
                // Callers that have their answers send nothing more.
                for packets in self.packets.values_mut() {
                    packets.retain(|segment| segment.flow.caller.port() != number);
                }
            }
            self.agent.on_answer(now_ms, answer(number));
        }
        for segment in self.packets.remove(&now_ms).unwrap_or_default() {
            self.pass(now_ms, &segment);
            self.release(now_ms);
        }
        self.agent.on_tick(now_ms);
        self.release(now_ms);
        // Slots that the packets of this millisecond have filled are taken at once.
        assert!(self.upstream.run(now_ms).is_empty());
        assert!(
            self.agent.busy() as usize <= self.upstream.places(now_ms),
            "{} places at {now_ms} for {} requests",
            self.agent.busy(),
            self.upstream.places(now_ms),
        );
    }

    fn pass(&mut self, now_ms: Millis, segment: &Segment) {
        let number = segment.flow.caller.port();
        // The bytes contain what `release` needs to recognize the packet.
        let bytes = [number.to_be_bytes(), (segment.sequence as u16).to_be_bytes()].concat();
        let outcome = self.agent.on_packet(now_ms, segment, &bytes, metadata(SLOTS));
        if outcome.delivery == Delivery::Deliver {
            self.receive(now_ms, segment);
        }
        if matches!(segment.kind, SegmentKind::Opening { .. }) {
            self.agent.on_answer(now_ms, opening_answer(number));
        }
    }

    fn release(&mut self, now_ms: Millis) {
        while let Some(released) = self.agent.next_released(now_ms) {
            for packet in released.packets {
                let [high, low, ref sequence @ ..] = packet[..] else { panic!("{packet:?}") };
                let sequence = u16::from_be_bytes(sequence.try_into().unwrap());
                let number = u16::from_be_bytes([high, low]);
                self.receive(now_ms, &data(number, sequence.into()));
            }
        }
    }

    fn receive(&mut self, now_ms: Millis, segment: &Segment) {
        if segment.data_bytes > 0 {
            self.passed_ms.entry(segment.flow.caller.port()).or_insert(now_ms);
        }
        self.upstream.receive(segment);
    }
}

/// Callers send four times what the upstream can process, and give up. Requests that the upstream
/// discarded were counted as in progress for three seconds, and requests whose callers had gone
/// were processed. Requests failed for seconds after the load had ended.
///
/// A request is passed on only if its caller is expected to wait for three more service times, and
/// takes at most two beside an upstream with one request beyond its slots. Callers who wait as long
/// as the agent assumes therefore have no request processed in vain, except for those passed on
/// before the first answer was measured. If callers leave earlier, requests are also processed in
/// vain while only late ones are left, which go oldest first: from the SLO after the last arrival
/// until the last caller has left. During the load, requests that can be on time go first.
#[rstest]
#[case::fin(WAIT_MS, End::Fin)]
#[case::fin_lost(WAIT_MS, End::FinLost)]
#[case::fin_overtakes(WAIT_MS, End::FinOvertakes)]
#[case::reset(WAIT_MS, End::Reset)]
#[case::vanish(WAIT_MS, End::Vanish)]
#[case::impatient_fin(500, End::Fin)]
#[case::impatient_fin_overtakes(500, End::FinOvertakes)]
#[case::impatient_reset(500, End::Reset)]
fn sustained_overload(#[case] patience_ms: Millis, #[case] end: End) {
    let mut world = World::new();
    let callers = (LOAD_MS / INTERVAL_MS) as u16;
    for number in 1..=callers {
        world.add_caller(number, Millis::from(number) * INTERVAL_MS, patience_ms, end);
    }
    // Once the last callers have gone, a fresh request is passed on at once.
    let fresh_ms = LOAD_MS + patience_ms + 1;
    let fresh = callers + 1;
    world.add_caller(fresh, fresh_ms, patience_ms, end);
    for now_ms in 0..=fresh_ms + patience_ms + BUSY_MAX_MS {
        world.step(now_ms);
        while world.agent.take_given_up().is_some() {}
    }
    let waited_ms = world.passed_ms[&fresh] - (fresh_ms + 1);
    assert_eq!(waited_ms, 0);
    assert!(world.answered.contains(&fresh));
    for number in &world.in_vain {
        assert!(world.passed_ms[number] < world.gone_ms[number], "{number} was passed on too late");
    }
    let late_ms = if patience_ms < WAIT_MS { patience_ms - Millis::from(SLO_MS) } else { 0 };
    let bound = Millis::from(SLOTS) * late_ms / SERVICE_MS + Millis::from(SLOTS) + 1;
    let bound = usize::try_from(bound).unwrap();
    assert!(world.in_vain.len() <= bound, "{} requests in vain", world.in_vain.len());
    assert_eq!(world.agent.busy(), 0);
    assert!(!world.agent.has_pending_work());
}
