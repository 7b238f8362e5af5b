//! Pieces in which entries send each other a configuration.

use serde::{Deserialize, Serialize};

/// Size of a piece in bytes: 33 ms on a link of 2 Mbit/s, a tenth of the time after which an agent
/// takes an entry for silent.
pub const PIECE_BYTES: usize = 8 << 10;
/// Maximum size of a transferred configuration in bytes.
pub const MAX_TRANSFER_BYTES: usize = 16 << 20;

/// Identifies the bytes that are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// Version of the configuration.
    pub version: u64,
    /// Hash of all bytes. Two peers may encode the same version differently.
    pub checksum: u64,
    /// Number of all bytes.
    pub total_bytes: u32,
}

/// Request for a piece of the configuration that is in force at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// The transfer that the piece belongs to; `None` to begin one.
    pub transfer: Option<TransferId>,
    /// Offset of the piece in bytes.
    pub offset_bytes: u32,
}

/// Answer to a [`PieceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceReply {
    /// A piece. If the sender cannot continue the requested transfer, it is the first piece of
    /// another one.
    Piece {
        /// The transfer that the piece belongs to.
        transfer: TransferId,
        /// Offset of the piece in bytes.
        offset_bytes: u32,
        /// Content of the piece.
        bytes: Vec<u8>,
    },
    /// The sender is sending to as many other peers as it may, or has no configuration.
    Busy,
}

/// Returns the piece that answers `request`, of the transfer whose bytes are `bytes`.
pub fn piece_of(transfer: TransferId, bytes: &[u8], request: &PieceRequest) -> PieceReply {
    let continues = request.transfer == Some(transfer);
    let start = if continues { request.offset_bytes as usize } else { 0 };
    let start = start.min(bytes.len());
    let end = (start + PIECE_BYTES).min(bytes.len());
    PieceReply::Piece { transfer, offset_bytes: start as u32, bytes: bytes[start..end].to_vec() }
}
