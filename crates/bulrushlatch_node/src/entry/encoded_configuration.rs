//! Encoding of a configuration record for the transfer to other entries.

use bulrushlatch_dispatch::configuration_transfer::TransferId;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a configuration record in bytes, which bounds the memory for decoding.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Why received bytes are not a configuration record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DecodeError {
    /// The bytes differ from those that were sent.
    WrongChecksum,
    /// The record is larger than the limit.
    TooLarge,
    /// The bytes cannot be decompressed.
    Corrupt,
}

/// A configuration record, compressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedConfiguration {
    /// Identifies `bytes`.
    pub transfer: TransferId,
    /// The compressed record.
    pub bytes: Vec<u8>,
}

impl EncodedConfiguration {
    /// Encodes the record of a version.
    pub fn new(version: u64, record: &[u8]) -> Self {
        let bytes = lz4_flex::compress_prepend_size(record);
        let total_bytes = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let transfer = TransferId { version, checksum: xxh3_64(&bytes), total_bytes };
        Self { transfer, bytes }
    }

    /// Returns the record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged, or the record is larger than the limit.
    pub fn decode(&self) -> Result<Vec<u8>, DecodeError> {
        if xxh3_64(&self.bytes) != self.transfer.checksum {
            return Err(DecodeError::WrongChecksum);
        }
        let (size, _) =
            lz4_flex::block::uncompressed_size(&self.bytes).map_err(|_| DecodeError::Corrupt)?;
        if size > MAX_RECORD_BYTES {
            return Err(DecodeError::TooLarge);
        }
        lz4_flex::decompress_size_prepended(&self.bytes).map_err(|_| DecodeError::Corrupt)
    }
}
