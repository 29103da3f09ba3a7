//! Changes and faults that are injected into the world.

use rand::{Rng, RngExt as _};

use super::world::{SERVICES_COUNT, ZONES};

/// A planned change or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The network fabric distributes flows over the balancers by a new hash.
    Reshuffle,
    /// A balancer restarts without its state.
    RestartBalancer(usize),
    /// A balancer receives no membership updates for some time.
    CutBalancer(usize),
    /// A balancer is paused, and handles the packets that queued up when it resumes.
    PauseBalancer(usize),
    /// An agent terminates, and starts some time later without its state.
    RestartAgent(usize),
    /// An upstream crashes, and starts some time later without its flows.
    CrashUpstream(usize),
    /// An upstream is drained as planned; its address is reused by the other service.
    DrainUpstream(usize),
    /// A third of a service's upstreams are drained at once, as planned.
    ScaleIn(usize),
    /// An availability zone accepts no new flows for some time.
    CloseZone(usize),
    /// A route changes to other services, or to other shares of them.
    MoveRoute(usize),
    /// Entries of running upstreams are missing from the published list for up to two seconds.
    Lapse,
    /// All balancers and agents restart without their state.
    LoseAllMemory,
    /// An upstream fails together with its instance. Its entry stays listed until it expires, and
    /// the upstream starts again after that.
    KillInstance(usize),
    /// An agent is unreachable for some time, while its upstream keeps running.
    CutAgent(usize),
    /// An upstream answers slowly for some time.
    SlowUpstream(usize),
    /// All processes and upstreams terminate. Most are back soon; entries of the others stay listed
    /// until they expire.
    LosePower,
    /// The configuration service comes back from an older copy, with or without an outage.
    ReturnStore,
    /// For some seconds, callers send more requests than the upstreams can process.
    Burst,
    /// A balancer hears of no changes for some time, although nothing has failed: the readers have
    /// stopped, or do not know it yet.
    DelayLists(usize),
}

/// Draws whether the next change delays the lists of a balancer, and of which one.
pub(super) fn draw_delay(rng: &mut impl Rng, balancers: usize) -> Option<Change> {
    let delays = rng.random_bool(0.3);
    delays.then(|| Change::DelayLists(rng.random_range(0..balancers)))
}

/// Draws whether the configuration service comes back from a copy next.
pub(super) fn draw_return(rng: &mut impl Rng, percent: u8) -> Option<Change> {
    rng.random_bool(f64::from(percent) / 100.0).then_some(Change::ReturnStore)
}

/// Draws whether the next change moves a route, and which one. For worlds whose routes change their
/// services.
pub(super) fn draw_move(rng: &mut impl Rng) -> Option<Change> {
    let moves = rng.random_bool(0.25);
    moves.then(|| Change::MoveRoute(rng.random_range(0..SERVICES_COUNT)))
}

/// Draws the next change of a world with planned changes only.
pub(super) fn draw_planned(rng: &mut impl Rng, upstreams: usize) -> Change {
    match rng.random_range(0..10) {
        0..=5 => Change::Reshuffle,
        6..=7 => Change::DrainUpstream(rng.random_range(0..upstreams)),
        8 => Change::ScaleIn(rng.random_range(0..SERVICES_COUNT)),
        _ => Change::CloseZone(rng.random_range(0..ZONES)),
    }
}

/// Draws the next change of a world with bursts of requests. No upstream leaves for long, so that
/// those that stay can process what is sent between the bursts.
pub(super) fn draw_burst(rng: &mut impl Rng, balancers: usize, upstreams: usize) -> Change {
    let balancer = rng.random_range(0..balancers);
    let upstream = rng.random_range(0..upstreams);
    match rng.random_range(0..24) {
        0..=2 => Change::Reshuffle,
        3..=5 => Change::RestartBalancer(balancer),
        6..=7 => Change::CutBalancer(balancer),
        8..=9 => Change::PauseBalancer(balancer),
        10..=12 => Change::RestartAgent(upstream),
        13..=14 => Change::CrashUpstream(upstream),
        15..=16 => Change::CutAgent(upstream),
        17..=18 => Change::SlowUpstream(upstream),
        19 => Change::KillInstance(upstream),
        20 => Change::LoseAllMemory,
        _ => Change::Burst,
    }
}

/// Draws the next change of a world with severe faults.
pub(super) fn draw_severe(rng: &mut impl Rng, balancers: usize, upstreams: usize) -> Change {
    let upstream = rng.random_range(0..upstreams);
    match rng.random_range(0..24) {
        0..=3 => Change::KillInstance(upstream),
        4..=6 => Change::CutAgent(upstream),
        7..=9 => Change::SlowUpstream(upstream),
        10 => Change::LosePower,
        _ => draw(rng, balancers, upstreams),
    }
}

/// Draws the next change of any other world.
pub(super) fn draw(rng: &mut impl Rng, balancers: usize, upstreams: usize) -> Change {
    let balancer = rng.random_range(0..balancers);
    let upstream = rng.random_range(0..upstreams);
    match rng.random_range(0..13) {
        0..=2 => Change::Reshuffle,
        3 => Change::RestartBalancer(balancer),
        4 => Change::CutBalancer(balancer),
        5 => Change::PauseBalancer(balancer),
        6 => Change::RestartAgent(upstream),
        7 => Change::CrashUpstream(upstream),
        8..=9 => Change::DrainUpstream(upstream),
        10 => Change::Lapse,
        11 => Change::CloseZone(rng.random_range(0..ZONES)),
        _ => Change::LoseAllMemory,
    }
}
