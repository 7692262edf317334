//! Digests, with which two nodes compare their directories without sending the records.
//!
//! The members of each availability zone are divided into [`BUCKETS`] by a hash of the member id. The digest
//! of a bucket is the exclusive or of the hashes of its records, so that it can be updated one record at a
//! time and does not depend on their order. Two nodes compare one number per zone, then the buckets of a
//! zone that differs, and send only the records of the buckets that differ.

use std::hash::{Hash, Hasher};

use derive_more::{Display, From, Into};
use siphasher::sip::SipHasher13;

use super::{MemberId, Record};

/// Number of buckets per availability zone.
pub const BUCKETS: usize = 32;

/// Digest of a set of records; 0 for the empty set.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct Digest(u64);

/// Index of a bucket of a zone, below [`BUCKETS`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bucket(usize);

impl Bucket {
    /// The bucket of `member`.
    pub fn of(member: MemberId) -> Self {
        let bucket = hash(&member) % BUCKETS as u64;
        Self(usize::try_from(bucket).unwrap_or_default())
    }
}

/// A set of buckets of one zone, as a bit mask.
#[derive(Clone, Copy, Debug, Default, Eq, From, Into, PartialEq)]
pub struct BucketSet(u32);

impl BucketSet {
    /// Every bucket.
    pub const ALL: Self = Self(u32::MAX);

    /// Whether `bucket` is in the set.
    pub const fn contains(self, bucket: Bucket) -> bool {
        self.0 & (1 << bucket.0) != 0
    }

    /// Whether the set is empty.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// Digests of the buckets of one zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneDigest(Box<[Digest; BUCKETS]>);

impl ZoneDigest {
    /// Adds a record to its bucket's digest, or removes it if it was added before.
    pub(super) fn toggle(&mut self, record: &Record) {
        let Bucket(at) = Bucket::of(record.member);
        self.0[at].0 ^= hash(&(record.member, record.incarnation, record.sequence));
    }

    /// The digest of the whole zone.
    pub fn total(&self) -> Digest {
        if self.0 == Self::default().0 {
            return Digest::default();
        }
        Digest(hash(&self.0))
    }

    /// The digests in the order of the buckets.
    pub fn buckets(&self) -> &[Digest; BUCKETS] {
        &self.0
    }

    /// The buckets that differ from `other`.
    pub fn differing(&self, other: &Self) -> BucketSet {
        let differ = |at: &usize| self.0[*at] != other.0[*at];
        BucketSet((0..BUCKETS).filter(differ).fold(0, |set, at| set | 1 << at))
    }
}

impl From<[Digest; BUCKETS]> for ZoneDigest {
    fn from(buckets: [Digest; BUCKETS]) -> Self {
        Self(Box::new(buckets))
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut h = SipHasher13::new();
    value.hash(&mut h);
    h.finish()
}
