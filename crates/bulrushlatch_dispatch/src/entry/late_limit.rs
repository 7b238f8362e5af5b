//! Limit on the work that waits although it will be late.
//!
//! Late jobs start only with capacity that nothing else needs. How much there is of it shows in
//! what becomes of them: the limit grows with each late job that starts, and is halved with each
//! that has to be given up. So few jobs wait in vain during a long overload, and most are served
//! after a short one.

/// Limit before anything is known, as a share of the capacity.
const INITIAL_SHARE: f64 = 0.2;
/// Smallest limit, so that it can grow again.
const MIN_SHARE: f64 = 0.02;
/// Largest limit.
const MAX_SHARE: f64 = 1.0;

/// Largest CPU of the jobs that wait in the late class, as a share of the capacity.
#[derive(Clone, Copy, Debug)]
pub struct LateLimit {
    share: f64,
}

impl Default for LateLimit {
    fn default() -> Self {
        Self { share: INITIAL_SHARE }
    }
}

impl LateLimit {
    /// Returns the limit in thousandths of a core.
    pub fn cpu_millis(&self, total_cpu_millis: u64) -> u64 {
        (total_cpu_millis as f64 * self.share) as u64
    }

    /// Records that a late job has started.
    pub fn record_start(&mut self, cpu_millis: u64, total_cpu_millis: u64) {
        let grown = self.share + cpu_millis as f64 / total_cpu_millis.max(1) as f64;
        self.share = grown.min(MAX_SHARE);
    }

    /// Records that a late job was given up before it could start.
    pub fn record_expiry(&mut self) {
        self.share = (self.share / 2.0).max(MIN_SHARE);
    }
}
