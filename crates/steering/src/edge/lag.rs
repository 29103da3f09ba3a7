//! How far this process is behind the packets that come to it.
//!
//! An agent answers within a millisecond, and upstreams answer or return an opening at once. Where
//! even the fastest word of all agents takes long, it is not they who are slow: packets wait at this
//! instance's link or in its socket. What looks like silence then is a backlog, and each packet sent
//! for it makes the backlog longer.

use crate::flow::Millis;

/// Time over which the shortest round trip is taken: long enough for some words at little traffic,
/// and short enough to notice a backlog within a second.
const WINDOW_MS: Millis = 500;
/// Round trips without which a window says nothing: a few may all have met one slow upstream.
const SAMPLES_MIN: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    shortest_ms: Millis,
    samples: u32,
}

/// The shortest round trips of this window and of the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lag {
    current: Window,
    previous: Window,
    window_start_ms: Millis,
}

impl Lag {
    /// Takes the time from a packet to an agent until that agent's word.
    pub(super) fn record(&mut self, now_ms: Millis, round_trip_ms: Millis) {
        self.rotate(now_ms);
        let window = &mut self.current;
        window.shortest_ms =
            if window.samples == 0 { round_trip_ms } else { window.shortest_ms.min(round_trip_ms) };
        window.samples += 1;
    }

    /// How far this process is behind; zero if nothing says that it is.
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
