//! What happens to the world besides traffic.

use rand::{Rng, RngExt as _};

use super::world::{SERVICES_COUNT, ZONES};

/// A planned change or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The fabric spreads flows anew over the balancers.
    Reshuffle,
    /// A balancer ends and starts without memory.
    RestartBalancer(usize),
    /// A balancer hears nothing of membership for some time.
    CutBalancer(usize),
    /// A balancer stands still and wakes up with all packets waiting.
    PauseBalancer(usize),
    /// An agent ends, and starts some time later without memory.
    RestartAgent(usize),
    /// An upstream loses everything, and starts anew some time later.
    CrashUpstream(usize),
    /// An upstream leaves as planned; its address goes to the other service.
    DrainUpstream(usize),
    /// A third of a service's upstreams leave at once, as planned.
    ScaleIn(usize),
    /// An availability zone takes no new flows for some time.
    CloseZone(usize),
    /// A route gets other services, or other shares of them.
    MoveRoute(usize),
    /// The published list loses entries of upstreams that live, for two seconds.
    Lapse,
    /// All balancers and agents end and start without memory.
    LoseAllMemory,
    /// An upstream dies with its instance; its entry stays listed until it lapses, and it starts
    /// anew after that.
    KillInstance(usize),
    /// An agent is cut off from everybody for some time; its upstream lives on.
    CutAgent(usize),
    /// An upstream takes long for each answer for some time.
    SlowUpstream(usize),
    /// All processes and upstreams end. Most are back soon; the others' entries stay listed until
    /// they lapse.
    LosePower,
}

/// In a world whose routes change their services, the next change is such a one now and then.
pub(super) fn draw_move(rng: &mut impl Rng) -> Option<Change> {
    let moves = rng.random_bool(0.25);
    moves.then(|| Change::MoveRoute(rng.random_range(0..SERVICES_COUNT)))
}

/// Draws the next change of a world in which all is planned.
pub(super) fn draw_planned(rng: &mut impl Rng, upstreams: usize) -> Change {
    match rng.random_range(0..10) {
        0..=5 => Change::Reshuffle,
        6..=7 => Change::DrainUpstream(rng.random_range(0..upstreams)),
        8 => Change::ScaleIn(rng.random_range(0..SERVICES_COUNT)),
        _ => Change::CloseZone(rng.random_range(0..ZONES)),
    }
}

/// Draws the next change of a severe_faults world.
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

/// Draws the next change.
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
