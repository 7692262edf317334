//! Damaged messages: a decoder returns a message or an error for any bytes, and never panics.

use prost::Message;

/// Decodes `bytes` after each of these changes: truncated at every byte, every bit inverted, and every byte
/// replaced by the start of a length of 2^35.
pub fn survives_damage<M, T>(bytes: &[u8])
where
    M: Message + Default,
    T: TryFrom<M>,
{
    let decode = |bytes: &[u8]| drop(M::decode(bytes).map(T::try_from));
    for end in 0..bytes.len() {
        decode(&bytes[..end]);
        for bit in 0..8 {
            let mut damaged = bytes.to_vec();
            damaged[end] ^= 1 << bit;
            decode(&damaged);
        }
        decode(&[&bytes[..end], &[0xff, 0xff, 0xff, 0xff, 0x7f]].concat());
    }
}
