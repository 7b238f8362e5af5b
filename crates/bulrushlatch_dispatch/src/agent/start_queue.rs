//! Start orders that wait at the agent until a run ends.
//!
//! Under a shortage several entries see the same free capacity and order it at the same time. The
//! agent starts one of the tasks. Were the others refused, they would go back to their entries and
//! compete for the next free capacity in the same way, while the target has none of them to start
//! when a run ends. So a few of them wait here, in the order of their arrival and for a short time.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::BootTime,
    frame::StartOrder,
    ids::{OrderNumber, ProcessId, TaskKey},
    outcome::Obstacle,
    size::Size,
};

use super::Agent;

/// Largest CPU of the orders that wait, as a share of the target's CPU: about what is released
/// within the wait.
const MAX_SHARE: f64 = 0.25;
/// Largest number of orders that wait, for tasks that need little or no CPU.
const MAX_ORDERS: usize = 64;

/// A start order that waits.
#[derive(Clone, Debug)]
pub struct QueuedStart {
    /// The entry that ordered it.
    pub entry: ProcessId,
    /// Number of the order.
    pub order: OrderNumber,
    /// What to start.
    pub start: StartOrder,
    /// When the order arrived.
    pub queued_at: BootTime,
}

/// Start orders that wait, oldest first.
#[derive(Debug, Default)]
pub struct StartQueue {
    /// Longest wait; with zero, no order waits.
    pub max_wait: Duration,
    starts: VecDeque<QueuedStart>,
}

impl StartQueue {
    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns whether an order for a task waits.
    pub fn contains(&self, task: &TaskKey) -> bool {
        self.starts.iter().any(|queued| queued.start.task == *task)
    }

    /// Returns what the waiting orders need together.
    pub fn size(&self) -> Size {
        let mut size = Size::default();
        for queued in &self.starts {
            size.add(&queued.start.size);
        }
        size
    }

    /// Returns whether an order that needs `size` of a target with `total` may wait.
    fn accepts(&self, size: &Size, total: &Size) -> bool {
        let max_cpu_millis = (total.cpu_millis as f64 * MAX_SHARE) as u64;
        let mut queued = self.size();
        queued.add(size);
        let has_room = queued.cpu_millis <= max_cpu_millis && self.starts.len() < MAX_ORDERS;
        !self.max_wait.is_zero() && size.fits(total) && has_room
    }

    /// Removes and returns the order of an entry with the given number, if it waits.
    fn remove(&mut self, entry: &ProcessId, order: OrderNumber) -> Option<QueuedStart> {
        let is_match = |queued: &QueuedStart| queued.entry == *entry && queued.order == order;
        let position = self.starts.iter().position(is_match)?;
        self.starts.remove(position)
    }
}

impl Agent {
    /// Sets how long a start order may wait for capacity; with zero it is refused at once.
    pub fn set_max_start_wait(&mut self, max_wait: Duration) {
        self.start_queue.max_wait = max_wait;
    }

    /// Returns the capacity that neither a run occupies nor a waiting order is to get.
    pub(super) fn unclaimed(&self, now: BootTime) -> Size {
        self.free(now).saturating_sub(&self.start_queue.size())
    }

    /// Queues a start order that found no capacity, or refuses it if it may not wait.
    pub(super) fn queue_start(&mut self, queued: QueuedStart) {
        let total = self.target.as_ref().map(|target| target.announcement.capacity);
        let size = &queued.start.size;
        if total.is_some_and(|total| self.start_queue.accepts(size, &total)) {
            self.counters.queued_starts += 1;
            self.start_queue.starts.push_back(queued);
        } else {
            self.refuse_start(queued, Obstacle::NoCapacity);
        }
    }

    /// Starts the waiting tasks for which there is capacity now, and refuses those that have waited
    /// for too long or may no longer start here.
    pub(super) fn start_queued(&mut self, now: BootTime) {
        for queued in std::mem::take(&mut self.start_queue.starts) {
            let has_expired = now.saturating_sub(queued.queued_at) > self.start_queue.max_wait;
            let free = self.free(now);
            match self.start_obstacle(now, &queued.entry, &queued.start, &free) {
                None => {
                    self.counters.started_from_queue += 1;
                    self.begin_run(now, queued);
                }
                Some(Obstacle::NoCapacity) if !has_expired => {
                    self.start_queue.starts.push_back(queued);
                }
                Some(obstacle) => self.refuse_start(queued, obstacle),
            }
        }
    }

    /// Refuses a waiting start order that its entry has cancelled; returns whether it waited.
    pub(super) fn cancel_queued_start(&mut self, entry: &ProcessId, order: OrderNumber) -> bool {
        let Some(queued) = self.start_queue.remove(entry, order) else { return false };
        self.refuse_start(queued, Obstacle::StaleOrder);
        true
    }
}
