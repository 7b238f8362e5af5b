//! The membership view: entries, agents and the owners of slices.

use std::{collections::BTreeMap, net::SocketAddr};

use bulrushlatch_protocol::ids::{Epoch, Incarnation, Offset, ProcessName, SliceId, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::stream::StreamState;
use crate::message::AgentDescription;

/// Time for which departed entries and agents stay in the view.
///
/// It must be longer than any configured id window plus the longest timeout.
const DEPARTED_RETENTION_MS: u64 = 2 * 60 * 60 * 1000;

/// The agreed membership after some offset of the ownership stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of changes of `members`; every epoch has exactly one set of members.
    pub epoch: Epoch,
    /// Entries that own slices.
    pub members: BTreeMap<Incarnation, Member>,
    /// Entries that used to own slices, oldest first.
    pub departed: Vec<DepartedMember>,
    /// Epochs in which there was only one member, oldest first.
    #[serde(rename = "lone_epochs")]
    pub sole_member_epochs: Vec<SoleMemberEpoch>,
    /// Agents that tasks may be placed on.
    pub agents: BTreeMap<Incarnation, RegisteredAgent>,
    /// Agents that were declared gone, oldest first; they may still have tasks.
    pub gone_agents: Vec<GoneAgent>,
    /// Offset of the next record that is not in this view.
    pub next_offset: Offset,
}

/// An entry that owns slices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, stable over restarts.
    pub name: ProcessName,
    /// Address at which other processes reach the entry.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// First epoch that includes the member.
    pub joined_epoch: Epoch,
}

/// An entry that used to own slices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedMember {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Former address, at which the entry may still answer while it shuts down.
    pub address: SocketAddr,
    /// First epoch that does not include the member.
    pub removed_epoch: Epoch,
    /// Reason for the departure.
    pub cause: DepartureCause,
    /// Wall time of the record.
    pub at_ms: u64,
}

/// An epoch with only one member, which had no other entry as a witness of its ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleMemberEpoch {
    /// The epoch.
    pub epoch: Epoch,
    /// The member.
    pub member: Incarnation,
}

/// An agent that tasks may be placed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredAgent {
    /// Name, address, availability zone, service and slots of the agent.
    pub description: AgentDescription,
}

/// An agent on which no new tasks may be placed, and whose task memory may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneAgent {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Offset of the record that declared it gone.
    pub gone_offset: Offset,
    /// Wall time of the record.
    pub at_ms: u64,
}

/// Why an entry or an agent departed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DepartureCause {
    /// It shut down in an orderly way.
    Left,
    /// It was silent for too long.
    Silent,
    /// Another incarnation joined under its name.
    Replaced,
}

/// One record of the ownership stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipRecord {
    /// An entry joins.
    Join {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its name.
        name: ProcessName,
        /// Its address.
        address: SocketAddr,
        /// Its availability zone.
        zone: ZoneName,
        /// Wall time of the record.
        at_ms: u64,
    },
    /// An entry is removed; ignored unless `by` is a member.
    Remove {
        /// The removed entry.
        incarnation: Incarnation,
        /// The entry that removes it.
        by: Incarnation,
        /// Reason for the removal.
        cause: DepartureCause,
        /// Wall time of the record.
        at_ms: u64,
    },
    /// An agent is registered.
    AgentJoined {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its name, address, availability zone, service and slots.
        description: AgentDescription,
        /// Wall time of the record.
        at_ms: u64,
    },
    /// An agent is gone.
    AgentGone {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Reason for the departure.
        cause: DepartureCause,
        /// Wall time of the record.
        at_ms: u64,
    },
}

impl StreamState for View {
    type Record = OwnershipRecord;

    fn apply(&mut self, offset: Offset, record: OwnershipRecord) {
        match record {
            OwnershipRecord::Join { incarnation, name, address, zone, at_ms } => {
                let member = Member { name, address, zone, joined_epoch: self.epoch + 1 };
                self.add_member(incarnation, member, at_ms);
            }
            OwnershipRecord::Remove { incarnation, by, cause, at_ms } => {
                if self.members.contains_key(&by) && self.members.contains_key(&incarnation) {
                    self.begin_epoch();
                    self.remove_member(incarnation, cause, at_ms);
                    self.record_epoch_if_sole_member();
                }
            }
            OwnershipRecord::AgentJoined { incarnation, description, at_ms } => {
                self.register_agent(offset, incarnation, description, at_ms);
            }
            OwnershipRecord::AgentGone { incarnation, at_ms, .. } => {
                self.remove_agent(offset, incarnation, at_ms);
            }
        }
    }

    fn next_offset(&self) -> Offset {
        self.next_offset
    }

    fn set_next_offset(&mut self, next_offset: Offset) {
        self.next_offset = next_offset;
    }
}

impl View {
    /// Returns the entry that owns a slice, or `None` without members.
    ///
    /// Rendezvous hashing moves only the slices of the entries that join or depart.
    pub fn owner_of(&self, slice: SliceId) -> Option<Incarnation> {
        let incarnations = self.members.keys().copied();
        incarnations.max_by_key(|&incarnation| slice_weight(slice, incarnation))
    }

    /// Returns the member that appends the records about an agent, or `None` without members.
    pub fn registrar_of(&self, agent: Incarnation) -> Option<Incarnation> {
        let incarnations = self.members.keys().copied();
        incarnations.max_by_key(|&incarnation| rendezvous_weight(agent, incarnation))
    }

    /// Returns the members other than `owner`, in order of preference as witnesses of the slice.
    pub fn witnesses_of(&self, slice: SliceId, owner: Incarnation) -> Vec<Incarnation> {
        let others = self.members.keys().copied().filter(|&incarnation| incarnation != owner);
        let mut others: Vec<Incarnation> = others.collect();
        others.sort_by_key(|&incarnation| std::cmp::Reverse(slice_weight(slice, incarnation)));
        others
    }

    /// Returns the entries that were members in `since` or a later epoch.
    pub fn members_since(&self, since: Epoch) -> Vec<Incarnation> {
        let departed = self.departed.iter().filter(|departed| departed.removed_epoch > since);
        let departed = departed.map(|departed| departed.incarnation);
        self.members.keys().copied().chain(departed).collect()
    }

    /// Returns whether an entry was the only member in `since` or a later epoch.
    pub fn was_sole_member_since(&self, since: Epoch, member: Incarnation) -> bool {
        let mut epochs = self.sole_member_epochs.iter();
        epochs.any(|sole| sole.epoch >= since && sole.member == member)
    }

    /// Returns whether the task memory of any agent was lost at or after `offset`.
    pub fn is_agent_memory_lost_since(&self, offset: Offset) -> bool {
        let mut gone = self.gone_agents.iter().filter(|gone| gone.gone_offset >= offset);
        gone.any(|gone| !self.has_successor(gone.incarnation))
    }

    /// Returns whether the agent of a gone incarnation runs on under a new one, with its memory.
    fn has_successor(&self, previous: Incarnation) -> bool {
        let mut agents = self.agents.values();
        agents.any(|agent| agent.description.previous_incarnations.contains(&previous))
    }

    /// Returns whether an agent was declared gone.
    pub fn is_gone(&self, agent: Incarnation) -> bool {
        self.gone_agents.iter().any(|gone| gone.incarnation == agent)
    }

    fn add_member(&mut self, incarnation: Incarnation, member: Member, at_ms: u64) {
        let was_removed = self.departed.iter().any(|old| old.incarnation == incarnation);
        if was_removed || self.members.contains_key(&incarnation) {
            return;
        }
        self.begin_epoch();
        let has_same_name = |(_, old): &(&Incarnation, &Member)| old.name == member.name;
        let replaced = self.members.iter().find(has_same_name).map(|(&old, _)| old);
        if let Some(replaced) = replaced {
            self.remove_member(replaced, DepartureCause::Replaced, at_ms);
        }
        self.members.insert(incarnation, member);
        self.record_epoch_if_sole_member();
    }

    fn begin_epoch(&mut self) {
        self.epoch += 1;
    }

    fn record_epoch_if_sole_member(&mut self) {
        if self.members.len() != 1 {
            return;
        }
        let epoch = self.epoch;
        let members = self.members.keys();
        self.sole_member_epochs.extend(members.map(|&member| SoleMemberEpoch { epoch, member }));
    }

    fn remove_member(&mut self, incarnation: Incarnation, cause: DepartureCause, at_ms: u64) {
        let Some(member) = self.members.remove(&incarnation) else { return };
        let removed_epoch = self.epoch;
        let address = member.address;
        self.departed.push(DepartedMember { incarnation, address, removed_epoch, cause, at_ms });
        let oldest_ms = at_ms.saturating_sub(DEPARTED_RETENTION_MS);
        self.departed.retain(|departed| departed.at_ms >= oldest_ms);
        let oldest_epoch = self.departed.first().map_or(0, |departed| departed.removed_epoch);
        self.sole_member_epochs.retain(|sole| sole.epoch + 1 >= oldest_epoch);
    }

    fn register_agent(
        &mut self,
        offset: Offset,
        incarnation: Incarnation,
        description: AgentDescription,
        at_ms: u64,
    ) {
        if self.is_gone(incarnation) || self.agents.contains_key(&incarnation) {
            return;
        }
        let has_same_name =
            |(_, old): &(&Incarnation, &RegisteredAgent)| old.description.name == description.name;
        let replaced = self.agents.iter().find(has_same_name).map(|(&old, _)| old);
        if let Some(replaced) = replaced {
            self.remove_agent(offset, replaced, at_ms);
        }
        self.agents.insert(incarnation, RegisteredAgent { description });
    }

    fn remove_agent(&mut self, gone_offset: Offset, incarnation: Incarnation, at_ms: u64) {
        if self.agents.remove(&incarnation).is_none() {
            return;
        }
        self.gone_agents.push(GoneAgent { incarnation, gone_offset, at_ms });
        let oldest_ms = at_ms.saturating_sub(DEPARTED_RETENTION_MS);
        self.gone_agents.retain(|gone| gone.at_ms >= oldest_ms);
    }
}

fn slice_weight(slice: SliceId, incarnation: Incarnation) -> u64 {
    rendezvous_weight(u64::from(slice), incarnation)
}

/// Returns the weight of a member for a key; the member with the highest weight is chosen.
fn rendezvous_weight(key: u64, incarnation: Incarnation) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&incarnation.to_le_bytes());
    xxh3_64(&bytes)
}
