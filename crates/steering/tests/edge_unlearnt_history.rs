//! Balancers that have all just started, and that learn in different orders of two route versions:
//! the first moves a route to another service, and the second makes another change of services.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;

use common::{READY, data, flow, packet, target, tick, upstream, verdict};
use rstest::rstest;
use steering::edge::{Action, Edge, Trust, Verdict};
use steering::flow::Millis;
use steering::history::History;
use steering::view::{Route, RouteTable, Service, ServiceStamp, Share, Upstream, View};

const FORMER: ServiceStamp = ServiceStamp(1);
const CURRENT: ServiceStamp = ServiceStamp(2);
const ADDED: ServiceStamp = ServiceStamp(3);
const FLOW_TTL_MS: Millis = 20_000;
/// The upstream of the former service that holds the flow.
const HOLDER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
/// Upstreams of the former service are numbered from 1, those of the current one from 101.
const UPSTREAMS_OF_EACH: u16 = 4;
/// When the caller sends its request, relative to the first time, and when it gives up.
const REQUEST_OFFSETS_MS: [Millis; 5] = [0, 200, 600, 1_400, 3_000];
const REQUEST_TIMEOUT_MS: Millis = 4_000;
/// Interval at which balancers that read the configuration service report what they know.
const REPORT_MS: Millis = 250;
const TICK_MS: Millis = 20;
const REPLY_MS: Millis = 4;
/// Time between two events of an order.
const EVENT_MS: Millis = 40;

/// What the second version changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// There is no second version.
    Nothing,
    /// A route of another port leaves the former service too, as in the fuzzed minute 7001533.
    OtherRouteLeaves,
    /// The flow's own route leads to a further service.
    ServiceAdded,
    /// Only the time within which callers expect an answer.
    AnswerTime,
}

/// What a balancer goes through. Balancer 0 was the first to start and has known the first of the
/// three versions since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// Balancer 0 applies the version in which the flow's route leaves the former service.
    FirstAt0,
    /// Balancer 0 applies the second version.
    SecondAt0,
    /// Balancer 1 reads its first routes, the version in which the route has left the former service.
    StartOf1,
    /// Balancer 1 applies the second version.
    SecondAt1,
    /// Balancer 1 receives a report of balancer 0, and fetches its history if it is behind.
    Report,
}

/// Table of the version: 10 before the route leaves the service, 11 after that, 12 the second one.
fn table(version: u64, second: Second) -> Arc<RouteTable> {
    let route = |port: u16, services: &[ServiceStamp]| Route {
        endpoint: std::net::SocketAddrV4::new(*flow(1).endpoint.ip(), port),
        shares: services.iter().map(|service| Share { service: *service, weight: 1 }).collect(),
        slo_ms: if version == 12 && second == Second::AnswerTime { 300 } else { 200 },
        wait_slos: 0,
        urgent: false,
        repeatable: true,
        regions: [].into(),
    };
    let mut routes = vec![match (version, second) {
        (10, _) => route(443, &[FORMER]),
        (12, Second::ServiceAdded) => route(443, &[CURRENT, ADDED]),
        _ => route(443, &[CURRENT]),
    }];
    if second == Second::OtherRouteLeaves {
        let services: &[ServiceStamp] = if version == 12 { &[CURRENT] } else { &[CURRENT, FORMER] };
        routes.push(route(8443, services));
    }
    Arc::new(RouteTable::new(version, routes, [FORMER, CURRENT, ADDED].map(Service::unlimited)))
}

struct Balancer {
    routes: Arc<RouteTable>,
    history: History,
}

impl Balancer {
    /// The process starts some time before it reads its first routes.
    fn start(now_ms: Millis, read_after_ms: Millis, routes: Arc<RouteTable>) -> Self {
        let history = History::from_now(now_ms - read_after_ms, FLOW_TTL_MS);
        let mut balancer = Self { routes: Arc::default(), history };
        balancer.apply(now_ms, routes);
        balancer
    }

    fn apply(&mut self, now_ms: Millis, routes: Arc<RouteTable>) {
        self.history.on_routes(now_ms, &self.routes, &routes);
        self.routes = routes;
    }

    /// Handles a report of another balancer as the process does: fetches its history if behind.
    fn on_report(&mut self, now_ms: Millis, other: &Self) {
        if self.history.is_behind(now_ms, other.history.summary(now_ms)) {
            let contents = other.history.contents(now_ms, other.routes.version);
            self.history.merge(now_ms, now_ms, &self.routes, &contents);
        }
    }

    fn view(&self) -> View {
        let of =
            |service: ServiceStamp, number: u16| Upstream { service, ..upstream(number, READY) };
        let former = (1..=UPSTREAMS_OF_EACH).map(|number| of(FORMER, number));
        let current = (101..=100 + UPSTREAMS_OF_EACH).map(|number| of(CURRENT, number));
        View::new(Arc::clone(&self.routes), former.chain(current).collect())
            .with_history(Arc::new(self.history.clone()))
    }
}

/// Plays the events, the first `start_gap_ms` after the start of balancer 0, and then reports at
/// the usual interval for two seconds. Balancer 1 reads its first routes `read_after_ms` after its
/// start. Returns balancer 1, balancer 0 and the time.
fn play(
    events: &[Event],
    start_gap_ms: Millis,
    read_after_ms: Millis,
    second: Second,
) -> (Balancer, Balancer, Millis) {
    let mut zero = Balancer::start(1_000, 0, table(10, second));
    let mut one = None;
    let mut now_ms = 1_000 + start_gap_ms;
    for event in events {
        match (event, &mut one) {
            (Event::FirstAt0, _) => zero.apply(now_ms, table(11, second)),
            (Event::SecondAt0, _) => zero.apply(now_ms, table(12, second)),
            (Event::StartOf1, _) => {
                let started = one.insert(Balancer::start(now_ms, read_after_ms, table(11, second)));
                started.on_report(now_ms, &zero);
            }
            (Event::SecondAt1, Some(one)) => one.apply(now_ms, table(12, second)),
            (Event::Report, Some(one)) => one.on_report(now_ms, &zero),
            (Event::SecondAt1 | Event::Report, None) => {}
        }
        now_ms += EVENT_MS;
    }
    let mut one = one.expect("balancer 1 starts in each order");
    for _ in 0..8 {
        now_ms += REPORT_MS;
        one.on_report(now_ms, &zero);
    }
    (one, zero, now_ms)
}

/// Time after which the holder gets a packet of a request that its caller sends to `balancer`, which
/// does not know the flow and goes on receiving reports of `other`. All upstreams reply to packets
/// in the same way, if at all.
fn found_after_ms(
    balancer: &mut Balancer,
    other: &Balancer,
    from_ms: Millis,
    reply: Option<Verdict>,
) -> Option<Millis> {
    let mut edge = Edge::default();
    let segment = data(1, 5);
    let mut replies: Vec<(Millis, Ipv4Addr)> = Vec::new();
    for after_ms in 0..REQUEST_TIMEOUT_MS {
        let now_ms = from_ms + after_ms;
        if after_ms % REPORT_MS == 0 {
            balancer.on_report(now_ms, other);
        }
        let view = balancer.view();
        let mut actions: Vec<Action> = Vec::new();
        if after_ms % TICK_MS == 0 {
            edge.set_trust(Trust { current_at_ms: now_ms, complete_from_ms: 0 });
            actions.extend(tick(&mut edge, now_ms, &view));
        }
        if REQUEST_OFFSETS_MS.contains(&after_ms) {
            actions.extend(packet(&mut edge, now_ms, &view, &segment));
        }
        let due: Vec<Ipv4Addr> =
            replies.extract_if(.., |(at_ms, _)| *at_ms == now_ms).map(|(_, from)| from).collect();
        for (from, reply) in due.into_iter().zip(std::iter::repeat(reply)) {
            let reply = reply.expect("replies are only scheduled if there are any");
            actions.extend(verdict(&mut edge, now_ms, &view, from, reply, &segment));
        }
        let asked: Vec<Ipv4Addr> = actions.iter().filter_map(target).collect();
        if asked.contains(&HOLDER) {
            return Some(after_ms);
        }
        if reply.is_some() {
            replies.extend(asked.into_iter().map(|to| (now_ms + REPLY_MS, to)));
        }
    }
    None
}

/// All orders of what the two balancers apply, each with a report after any of the events or none.
fn orders(second: Second) -> Vec<Vec<Event>> {
    let applies_second = second != Second::Nothing;
    let of_0: &[Event] =
        if applies_second { &[Event::FirstAt0, Event::SecondAt0] } else { &[Event::FirstAt0] };
    let of_1: &[Event] =
        if applies_second { &[Event::StartOf1, Event::SecondAt1] } else { &[Event::StartOf1] };
    let mut orders = Vec::new();
    for merged in interleavings(of_0, of_1) {
        for reports in 0..1_u32 << merged.len() {
            let with_reports = merged.iter().enumerate().flat_map(|(index, event)| {
                let report = (reports >> index & 1 == 1).then_some(Event::Report);
                [Some(*event), report].into_iter().flatten()
            });
            orders.push(with_reports.collect());
        }
    }
    orders
}

fn interleavings(one: &[Event], other: &[Event]) -> Vec<Vec<Event>> {
    let (Some((first, rest)), Some((other_first, other_rest))) =
        (one.split_first(), other.split_first())
    else {
        return vec![[one, other].concat()];
    };
    let begin = |first: &Event, rest: Vec<Vec<Event>>| {
        rest.into_iter().map(|rest| [vec![*first], rest].concat()).collect::<Vec<_>>()
    };
    let mut all = begin(first, interleavings(rest, other));
    all.extend(begin(other_first, interleavings(one, other_rest)));
    all
}

/// Guards against a flow that is not found (FlowNotFound of the fuzzed minute 7001533, in
/// `red_flow_not_found_after_a_move`): a balancer that started between the first version's
/// publication and its arrival at another balancer applies the second version by itself. Its
/// history then has the same version as the other one's, so that it never fetches what it lacks.
///
/// The holder is to get a packet of the request before its caller gives up, whatever the order.
#[rstest]
fn request_reaches_the_holder_in_every_order(
    #[values(Second::Nothing, Second::AnswerTime, Second::OtherRouteLeaves, Second::ServiceAdded)]
    second: Second,
    #[values(40, 200, 900, 1_100, 3_000)] start_gap_ms: Millis,
    #[values(0, 300)] read_after_ms: Millis,
) {
    let mut failed = Vec::new();
    for order in orders(second) {
        let (mut one, zero, now_ms) = play(&order, start_gap_ms, read_after_ms, second);
        if found_after_ms(&mut one, &zero, now_ms, Some(Verdict::Denied)).is_none() {
            failed.push(order);
        }
    }
    let all = orders(second).len();
    let shortest = failed.iter().min_by_key(|order| order.len());
    assert!(failed.is_empty(), "{} of {all} orders, e.g. {shortest:?}", failed.len());
}

/// Plays the order of the fuzzed minute 7001533.
fn play_fuzzed_minute() -> (Balancer, Balancer, Millis) {
    let order = [Event::StartOf1, Event::FirstAt0, Event::SecondAt1, Event::SecondAt0];
    play(&order, 192, 0, Second::OtherRouteLeaves)
}

/// The order of the fuzzed minute 7001533, with each kind of reply of the upstreams that are asked.
#[rstest]
fn request_reaches_the_holder_whatever_others_reply(
    #[values(
        Some(Verdict::Denied),
        Some(Verdict::WrongService { service: FORMER.short() }),
        Some(Verdict::Unresponsive { for_ms: 500 }),
        Some(Verdict::Alive),
        None
    )]
    reply: Option<Verdict>,
) {
    let (mut one, zero, now_ms) = play_fuzzed_minute();
    let found = found_after_ms(&mut one, &zero, now_ms, reply);
    assert!(found.is_some_and(|after_ms| after_ms < REQUEST_TIMEOUT_MS), "{found:?}");
}

/// The same order: the balancer that knows the former service finds the holder, whatever the
/// upstreams that are asked reply. So neither the replies nor the search lose the flow.
#[rstest]
fn request_reaches_the_holder_through_the_other_balancer(
    #[values(
        Some(Verdict::Denied),
        Some(Verdict::WrongService { service: FORMER.short() }),
        Some(Verdict::Unresponsive { for_ms: 500 }),
        Some(Verdict::Alive),
        None
    )]
    reply: Option<Verdict>,
) {
    let (one, mut zero, now_ms) = play_fuzzed_minute();
    let found = found_after_ms(&mut zero, &one, now_ms, reply);
    assert!(found.is_some_and(|after_ms| after_ms < REQUEST_TIMEOUT_MS), "{found:?}");
}
