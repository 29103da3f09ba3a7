//! A bound on the log lines of each kind.

/// Lines of one kind that may come at once.
pub const BURST: u32 = 20;
/// Lines of one kind a second after that.
pub const PER_SECOND: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    code: u16,
    /// Thousandths of a line.
    tokens: u64,
    at_ms: u64,
    suppressed: u64,
}

/// Token buckets by result code, so that a flood of one kind does not hide the others.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    buckets: Vec<Bucket>,
}

impl LineBudget {
    /// Whether a line may be written now; if so, how many of its kind were left out before.
    ///
    /// ```
    /// use telemetry::budget::{BURST, LineBudget};
    /// let mut budget = LineBudget::default();
    /// let lines = (0..100).filter(|_| budget.allow(0, 2201).is_some()).count();
    /// assert_eq!(lines, BURST as usize);
    /// assert_eq!(budget.allow(200, 2201), Some(80));
    /// ```
    pub fn allow(&mut self, now_ms: u64, code: u16) -> Option<u64> {
        let full = u64::from(BURST) * 1_000;
        let index = match self.buckets.binary_search_by_key(&code, |bucket| bucket.code) {
            Ok(index) => index,
            Err(index) => {
                let bucket = Bucket { code, tokens: full, at_ms: now_ms, suppressed: 0 };
                self.buckets.insert(index, bucket);
                index
            }
        };
        let bucket = &mut self.buckets[index];
        let gained = now_ms.saturating_sub(bucket.at_ms) * u64::from(PER_SECOND);
        bucket.tokens = full.min(bucket.tokens + gained);
        bucket.at_ms = now_ms;
        if bucket.tokens < 1_000 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1_000;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
