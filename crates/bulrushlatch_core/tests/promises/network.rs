//! Simulated network that can lose, delay and duplicate messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bulrushlatch_core::message::Envelope;

/// Range of the usual delay of a message in microseconds.
const DELAY_RANGE_US: (u64, u64) = (500, 2_500);
/// Longest injected delay of a message in milliseconds.
const MAX_FAULT_DELAY_MS: u64 = 4_000;

/// Messages in flight between processes, in virtual time.
#[derive(Debug, Default)]
pub struct Network {
    /// Messages by time of arrival and sequence number.
    in_flight: BTreeMap<(Duration, u64), Delivery>,
    last_sequence_number: u64,
    /// Pairs of sender and receiver between which all messages are lost.
    pub cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Share of messages that get an injected delay, in percent.
    pub delayed_percent: u32,
    /// Share of messages that arrive twice, in percent.
    pub duplicated_percent: u32,
}

/// An envelope and its receiver.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The delivered envelope.
    pub envelope: Envelope,
}

impl Network {
    /// Sends an envelope, subject to the current faults.
    pub fn send(&mut self, now: Duration, random: &mut fastrand::Rng, delivery: &Delivery) {
        if self.cuts.contains(&(delivery.envelope.from_address, delivery.to)) {
            return;
        }
        let copies = if random.u32(..100) < self.duplicated_percent { 2 } else { 1 };
        for _ in 0..copies {
            let is_delayed = random.u32(..100) < self.delayed_percent;
            let delay = if is_delayed {
                Duration::from_millis(random.u64(..MAX_FAULT_DELAY_MS))
            } else {
                Duration::from_micros(random.u64(DELAY_RANGE_US.0..DELAY_RANGE_US.1))
            };
            self.last_sequence_number += 1;
            let key = (now + delay, self.last_sequence_number);
            self.in_flight.insert(key, delivery.clone());
        }
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub fn next_arrived(&mut self, now: Duration) -> Option<Delivery> {
        let (&key, _) = self.in_flight.first_key_value()?;
        if key.0 > now {
            return None;
        }
        let delivery = self.in_flight.remove(&key)?;
        let is_cut = self.cuts.contains(&(delivery.envelope.from_address, delivery.to));
        if is_cut { self.next_arrived(now) } else { Some(delivery) }
    }
}
