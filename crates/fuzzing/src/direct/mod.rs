//! Fuzzing of the direct-return path: balancers and agents of [`steering`] between callers and
//! upstreams of a model, under planned change and faults, against the promises.
//!
//! The model shares no code with what it checks. One seed gives one episode, always the same.

mod caller;
mod plan;
mod upstream;
mod world;

pub use world::{Size, World};

pub use plan::Change;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A balancer reset a flow that its upstream holds.
    LivingFlowReset,
    /// An upstream got an opening of another service.
    WrongService,
    /// An upstream got an opening long after it had begun to leave.
    OpeningOnLeaving,
    /// A living flow was not found for seconds, though nothing was disturbed.
    FlowNotFound,
    /// An upstream got an opening long after its availability zone was closed.
    OpeningInClosedZone,
    /// An upstream that takes new flows was passed over by very many.
    UpstreamPassedOver,
    /// A cold upstream got more openings in a second than it bears.
    ColdLimitExceeded,
    /// An upstream got an opening of a route that does not allow its region.
    RegionNotAllowed,
    /// An upstream got an opening long after its route had left its service.
    OpeningAtFormerService,
}

/// A safeguard taken out, to see that the promises catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Resets are sent where a proof is missing.
    ResetWithoutProof,
    /// Agents deliver packets of other services.
    ServiceNotChecked,
    /// Balancers take draining upstreams for ready.
    DrainIgnored,
    /// Balancers forget an upstream as soon as its entry goes.
    MissingForgotten,
    /// Balancers look for no flow that they do not know.
    NeverAsked,
    /// Balancers place new flows in closed availability zones.
    ClosedZoneIgnored,
    /// Balancers never learn that an availability zone is open again.
    ZoneNeverOpened,
    /// Balancers name no limit of cold upstreams.
    ColdLimitIgnored,
    /// Balancers place new flows in any region.
    RegionIgnored,
    /// Balancers forget which services routes have left.
    FormerServicesForgotten,
    /// Balancers that start anew do not ask others which services routes have left.
    HistoryNotLearnt,
    /// Balancers never learn of changes of routes.
    OldRoutesKept,
}

/// How an episode ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Promises broken, with the time and the change before.
    pub violations: Vec<(u64, Violation)>,
    /// Requests answered.
    pub answered: u64,
    /// Flows that balancers reset.
    pub resets: u64,
    /// Changes played, with their times.
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

/// The same in a world of another size.
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
