//! Frame format: each frame holds one synced batch with its length and checksums.
//!
//! ```text
//! file header   magic 8 · format version 4 · host 8 · generation 8 · CRC-32C 4
//! frame         payload length 4 · CRC-32C of the payload 4 · CRC-32C of position and the above 4 · payload
//! ```
//!
//! All numbers are little-endian. The position consists of host, generation and offset, so that an intact
//! frame at another position fails its checksum.
//!
//! A reader must distinguish damage to synced data from a torn tail: a batch that was being written when
//! the host crashed and was never acknowledged. Only the last frame can be torn, and then either the file
//! ends inside the frame, or a whole sector of it was not written and reads as zeros. Everything else is
//! [`Damage`].

use bytes::{Buf, BufMut};
use crc32c::{crc32c, crc32c_append};
use derive_more::Display;

use crate::member::MemberId;

/// Size of the unit that a disk writes atomically, in bytes.
const SECTOR_BYTES: usize = 512;
/// Length of the frame header, in bytes.
pub(super) const FRAME_HEADER_BYTES: usize = 12;
/// Length of the file header, in bytes.
pub(super) const FILE_HEADER_BYTES: usize = 32;
const MAGIC: &[u8; 8] = b"DWRLLOG\n";
/// Version of the file format.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Kind of damage to a log file.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Damage {
    /// The file is too short for a header or does not start with the magic bytes of a log.
    #[display("not a log")]
    Magic,
    /// The file has a format version that this program does not support.
    #[display("format version {_0} is not known to this version of the program")]
    FormatVersion(u32),
    /// The header has a wrong checksum, or the file belongs to another host or generation.
    #[display("the header is damaged or belongs to another host or generation")]
    Header,
    /// A frame header is damaged or was written for another position.
    #[display("a frame's head is damaged or belongs to another place")]
    FrameHead,
    /// A frame's payload has a wrong checksum.
    #[display("a frame's payload is damaged")]
    Payload,
    /// A payload has a valid checksum but cannot be decoded.
    #[display("a frame's content cannot be read")]
    Content,
    /// The file ends before the end of its snapshot and first batch.
    #[display("the snapshot is cut short")]
    Snapshot,
}

/// Position of a frame. Its checksum covers the position.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub(super) host: MemberId,
    pub(super) generation: u64,
    pub(super) offset: u64,
}

impl Position {
    fn checksum(self, header: &[u8]) -> u32 {
        let mut position = [0; 24];
        let mut buf = &mut position[..];
        buf.put_u64_le(self.host.get());
        buf.put_u64_le(self.generation);
        buf.put_u64_le(self.offset);
        crc32c_append(crc32c(&position), header)
    }
}

/// Encodes the file header of a generation.
pub(super) fn header(host: MemberId, generation: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.put_u32_le(FORMAT_VERSION);
    bytes.put_u64_le(host.get());
    bytes.put_u64_le(generation);
    bytes.put_u32_le(crc32c(&bytes));
    bytes
}

/// Checks the file header of a generation.
pub(super) fn check_header(bytes: &[u8], host: MemberId, generation: u64) -> Result<(), Damage> {
    if bytes.len() < FILE_HEADER_BYTES || !bytes.starts_with(MAGIC) {
        return Err(Damage::Magic);
    }
    let written = &bytes[..FILE_HEADER_BYTES];
    let version = (&written[MAGIC.len()..]).get_u32_le();
    let (body, mut checksum) = written.split_at(FILE_HEADER_BYTES - 4);
    let is_intact = crc32c(body) == checksum.get_u32_le();
    if is_intact && version != FORMAT_VERSION {
        return Err(Damage::FormatVersion(version));
    }
    if written == header(host, generation) {
        Ok(())
    } else {
        Err(Damage::Header)
    }
}

/// Encodes a frame with `payload`.
pub(super) fn encode(position: Position, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    let length = u32::try_from(payload.len()).expect("a batch is far below 4 GiB");
    bytes.put_u32_le(length);
    bytes.put_u32_le(crc32c(payload));
    bytes.put_u32_le(position.checksum(&bytes));
    bytes.extend_from_slice(payload);
    bytes
}

/// Result of reading a frame.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum FrameRead<'a> {
    /// Payload of an intact frame.
    Payload(&'a [u8]),
    /// The end of the file.
    End,
    /// Torn tail: a batch that was being written when the host crashed.
    Torn,
    /// Synced data is damaged.
    Damaged(Damage),
}

/// Reads the frame at `position`. `bytes` is the content of the file from there to its end.
pub(super) fn read(position: Position, bytes: &[u8]) -> FrameRead<'_> {
    if bytes.is_empty() {
        return FrameRead::End;
    }
    let Some((header, rest)) = bytes.split_at_checked(FRAME_HEADER_BYTES) else {
        return FrameRead::Torn;
    };
    let mut fields = header;
    let (length, payload_checksum) = (fields.get_u32_le(), fields.get_u32_le());
    if position.checksum(&header[..FRAME_HEADER_BYTES - 4]) != fields.get_u32_le() {
        return classify(position, bytes, Damage::FrameHead);
    }
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    let Some((payload, after)) = rest.split_at_checked(length) else {
        return FrameRead::Torn;
    };
    if crc32c(payload) == payload_checksum {
        return FrameRead::Payload(payload);
    }
    if after.is_empty() {
        classify(position, bytes, Damage::Payload)
    } else {
        FrameRead::Damaged(Damage::Payload)
    }
}

/// Classifies a damaged frame at the end of a file as torn or damaged. It is torn if a sector of it reads
/// as zeros. The end of a frame without a valid header is unknown, so then all following bytes must be zeros
/// as well.
fn classify<'a>(position: Position, bytes: &[u8], damage: Damage) -> FrameRead<'a> {
    let is_torn = match damage {
        Damage::FrameHead => bytes.iter().all(|b| *b == 0),
        _ => has_zero_sector(position.offset, bytes),
    };
    if is_torn {
        FrameRead::Torn
    } else {
        FrameRead::Damaged(damage)
    }
}

fn has_zero_sector(offset: u64, bytes: &[u8]) -> bool {
    let offset_in_sector = usize::try_from(offset % SECTOR_BYTES as u64).unwrap_or_default();
    let first = (SECTOR_BYTES - offset_in_sector) % SECTOR_BYTES;
    let mut sectors = bytes.get(first..).unwrap_or_default().chunks(SECTOR_BYTES);
    sectors.any(|sector| sector.iter().all(|b| *b == 0))
}
