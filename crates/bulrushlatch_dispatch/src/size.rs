//! Amounts of resources: what a task requires and what a target has.

use serde::{Deserialize, Serialize};

/// An amount of each resource of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Size {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Size {
    /// Returns whether `available` is at least this much of each resource.
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Adds `other` to each resource; no resource exceeds the largest value.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Returns `count` times this amount; no resource exceeds the largest value.
    pub fn saturating_mul(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns this amount less `other`; no resource goes below zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
