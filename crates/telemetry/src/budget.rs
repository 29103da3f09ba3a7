//! Rate limit for log lines, applied to each result code separately.

/// Lines of one code that may be written at once.
pub const BURST_LINES: u32 = 20;
/// Sustained lines of one code per second.
pub const LINES_PER_SECOND: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    code: u16,
    /// Tokens in thousandths of a line.
    millitokens: u64,
    refilled_at_ms: u64,
    suppressed: u64,
}

/// Token buckets by result code, so that a flood of one code does not suppress the others.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    buckets: Vec<Bucket>,
}

impl LineBudget {
    /// If a line of `code` may be written now, returns how many lines of that code were suppressed
    /// since the last one; otherwise returns `None`.
    ///
    /// ```
    /// use telemetry::budget::{BURST_LINES, LineBudget};
    /// let mut budget = LineBudget::default();
    /// let lines = (0..100).filter(|_| budget.allow(0, 2201).is_some()).count();
    /// assert_eq!(lines, BURST_LINES as usize);
    /// assert_eq!(budget.allow(200, 2201), Some(80));
    /// ```
    pub fn allow(&mut self, now_ms: u64, code: u16) -> Option<u64> {
        let full = u64::from(BURST_LINES) * 1_000;
        let index = match self.buckets.binary_search_by_key(&code, |bucket| bucket.code) {
            Ok(index) => index,
            Err(index) => {
                let bucket =
                    Bucket { code, millitokens: full, refilled_at_ms: now_ms, suppressed: 0 };
                self.buckets.insert(index, bucket);
                index
            }
        };
        let bucket = &mut self.buckets[index];
        let gained = now_ms.saturating_sub(bucket.refilled_at_ms) * u64::from(LINES_PER_SECOND);
        bucket.millitokens = full.min(bucket.millitokens + gained);
        bucket.refilled_at_ms = now_ms;
        if bucket.millitokens < 1_000 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.millitokens -= 1_000;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
