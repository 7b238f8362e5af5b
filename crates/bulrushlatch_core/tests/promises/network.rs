//! Messages on their way, and what may happen to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bulrushlatch_core::message::Envelope;

/// Shortest and longest time that a message takes in microseconds.
const USUAL_DELAY_US: (u64, u64) = (500, 2_500);
/// Longest time that a late message takes in milliseconds.
const LATE_DELAY_MS: u64 = 4_000;

/// Messages between processes, in virtual time.
#[derive(Debug, Default)]
pub struct Network {
    on_the_way: BTreeMap<(Duration, u64), Delivery>,
    sent: u64,
    /// Pairs of sender and receiver between which everything is lost.
    pub cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Share of messages that are late, in percent.
    pub late_percent: u32,
    /// Share of messages that arrive twice, in percent.
    pub twice_percent: u32,
}

/// A message that arrives.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// What arrives.
    pub envelope: Envelope,
}

impl Network {
    /// Sends an envelope.
    pub fn send(&mut self, now: Duration, random: &mut fastrand::Rng, delivery: &Delivery) {
        if self.cuts.contains(&(delivery.envelope.from_address, delivery.to)) {
            return;
        }
        let copies = if random.u32(..100) < self.twice_percent { 2 } else { 1 };
        for _ in 0..copies {
            let is_late = random.u32(..100) < self.late_percent;
            let delay = if is_late {
                Duration::from_millis(random.u64(..LATE_DELAY_MS))
            } else {
                Duration::from_micros(random.u64(USUAL_DELAY_US.0..USUAL_DELAY_US.1))
            };
            self.sent += 1;
            self.on_the_way.insert((now + delay, self.sent), delivery.clone());
        }
    }

    /// Returns the next message that has arrived at `now`.
    pub fn next_arrived(&mut self, now: Duration) -> Option<Delivery> {
        let (&key, _) = self.on_the_way.first_key_value()?;
        if key.0 > now {
            return None;
        }
        let delivery = self.on_the_way.remove(&key)?;
        let is_cut = self.cuts.contains(&(delivery.envelope.from_address, delivery.to));
        if is_cut { self.next_arrived(now) } else { Some(delivery) }
    }
}
