//! Measures how far this process lags behind the packets that it receives.
//!
//! Agents reply within a millisecond, and upstreams answer or return an opening at once. If even
//! the fastest reply of all agents takes long, the agents are not the cause: packets are queued at
//! this instance's link or in its socket. Replies that seem to be missing are then in the backlog,
//! and each packet sent because of them makes the backlog longer.

use crate::flow::Millis;

/// Length of the window over which the shortest round trip is taken: long enough for several
/// replies under low traffic, and short enough to detect a backlog within a second.
const WINDOW_MS: Millis = 500;
/// A window with fewer round trips is ignored: all of them may have met one slow upstream.
const SAMPLES_MIN: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    shortest_ms: Millis,
    samples: u32,
}

/// The shortest round trips of the current window and of the previous one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lag {
    current: Window,
    previous: Window,
    window_start_ms: Millis,
}

impl Lag {
    /// Records the time between a packet to an agent and the agent's reply.
    pub(super) fn record(&mut self, now_ms: Millis, round_trip_ms: Millis) {
        self.rotate(now_ms);
        let window = &mut self.current;
        window.shortest_ms =
            if window.samples == 0 { round_trip_ms } else { window.shortest_ms.min(round_trip_ms) };
        window.samples += 1;
    }

    /// The lag of this process; zero if there is no evidence of any.
    pub(super) fn value_ms(&mut self, now_ms: Millis) -> Millis {
        self.rotate(now_ms);
        let known = [self.current, self.previous].into_iter().filter(|w| w.samples >= SAMPLES_MIN);
        known.map(|window| window.shortest_ms).min().unwrap_or(0)
    }

    fn rotate(&mut self, now_ms: Millis) {
        let age_ms = now_ms.saturating_sub(self.window_start_ms);
        if age_ms < WINDOW_MS {
            return;
        }
        self.previous = if age_ms < 2 * WINDOW_MS { self.current } else { Window::default() };
        self.current = Window::default();
        self.window_start_ms = now_ms;
    }
}
