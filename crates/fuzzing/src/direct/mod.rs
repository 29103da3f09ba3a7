//! Fuzzing of the direct-return path: balancers and agents of [`steering`] run between simulated
//! callers and upstreams, under planned changes and faults, and the promises are checked.
//!
//! The simulation shares no code with what it checks. The same seed always gives the same episode.

mod caller;
mod plan;
mod slots;
mod upstream;
mod world;

pub use world::{Size, Timeline, World};

pub use plan::Change;

/// A violated promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A balancer reset a flow that its upstream still holds.
    LivingFlowReset,
    /// An upstream received an opening for another service.
    WrongService,
    /// An upstream received an opening long after it had started draining.
    OpeningOnLeaving,
    /// A live flow was not found for seconds, although nothing disturbed the world.
    FlowNotFound,
    /// An upstream received an opening long after its availability zone was closed.
    OpeningInClosedZone,
    /// An upstream that accepts new flows was passed over by too many of them.
    UpstreamPassedOver,
    /// A cold upstream received more openings in a second than its limit allows.
    ColdLimitExceeded,
    /// An upstream received an opening for a route that does not allow its region.
    RegionNotAllowed,
    /// An upstream received an opening long after the route had left its service.
    OpeningAtFormerService,
    /// A caller gave up a request long after the last burst of requests and the last failure.
    RequestUnanswered,
    /// An agent counted a request as in progress that its upstream did not have, long after the last
    /// burst of requests and the last failure.
    RequestMiscounted,
    /// A balancer reset an opening as overloaded that an upstream would have taken.
    NeedlessReset,
}

/// A safeguard that is removed, to verify that the promises detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Balancers reset a flow without proof that no upstream holds it.
    ResetWithoutProof,
    /// Balancers take their list for a current one as long as they are not cut off.
    OldListTrusted,
    /// Agents deliver packets that are meant for other services.
    ServiceNotChecked,
    /// Balancers treat draining upstreams as ready.
    DrainIgnored,
    /// Balancers forget an upstream as soon as its entry disappears.
    MissingForgotten,
    /// Balancers never ask agents for the holder of an unknown flow.
    NeverAsked,
    /// Balancers place new flows in closed availability zones.
    ClosedZoneIgnored,
    /// Balancers never learn that an availability zone is open again.
    ZoneNeverOpened,
    /// Balancers announce no limit for cold upstreams.
    ColdLimitIgnored,
    /// Balancers place new flows in any region.
    RegionIgnored,
    /// Balancers forget which services a route has left.
    FormerServicesForgotten,
    /// Balancers do not ask others on start which services routes have left.
    HistoryNotLearnt,
    /// Balancers never learn of changed routes.
    OldRoutesKept,
    /// Balancers order what they know by the numbers alone, without the era.
    EraIgnored,
    /// Balancers take changes of a later era for the continuation of what they know.
    CopyContinued,
    /// Balancers hold nothing that a copy lacks.
    CopyTakenWhole,
    /// Balancers believe a copy that says that a draining upstream is ready.
    DrainTakenBack,
    /// Balancers take an older version of the routes from a copy.
    RoutesTakenBack,
    /// Balancers count the list of a copy as complete.
    CopyCountsAsComplete,
    /// Balancers do not tell others what they hold.
    HeldNotTold,
    /// Balancers hold what a copy lacks for ever.
    HeldForever,
}

/// Result of an episode.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Violated promises, each with the simulated time.
    pub violations: Vec<(u64, Violation)>,
    /// Number of requests answered.
    pub answered: u64,
    /// Number of flows that balancers reset.
    pub resets: u64,
    /// Changes applied, each with its time.
    pub played: Vec<(u64, Change)>,
}

/// Plays an episode of `length_ms` simulated milliseconds.
///
/// ```
/// let outcome = fuzzing::direct::play(1, 5_000, None);
/// assert!(outcome.answered > 0);
/// assert!(outcome.violations.is_empty());
/// ```
pub fn play(seed: u64, length_ms: u64, mutant: Option<Mutant>) -> Outcome {
    play_at(Size::SMALL, seed, length_ms, mutant)
}

/// Like [`play`], in a world of another size.
///
/// ```
/// use fuzzing::direct::{Size, play_at};
/// let outcome = play_at(Size::LARGE, 1, 2_000, None);
/// assert!(outcome.answered > 0);
/// ```
pub fn play_at(size: Size, seed: u64, length_ms: u64, mutant: Option<Mutant>) -> Outcome {
    let mut world = World::new(size, seed, mutant);
    world.run(length_ms);
    world.outcome
}

/// Like [`play_at`], and records the episode's time line.
///
/// ```
/// use fuzzing::direct::{Size, play_at, play_recorded};
/// let (outcome, _) = play_recorded(Size::SMALL, 1, 2_000, None);
/// assert_eq!(outcome, play_at(Size::SMALL, 1, 2_000, None));
/// ```
pub fn play_recorded(
    size: Size,
    seed: u64,
    length_ms: u64,
    mutant: Option<Mutant>,
) -> (Outcome, Timeline) {
    let mut world = World::new(size, seed, mutant);
    world.record();
    world.run(length_ms);
    (world.outcome, world.timeline.unwrap_or_default())
}
