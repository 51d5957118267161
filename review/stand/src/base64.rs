//! Standard base64 with padding, the encoding of values in the store.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain(std::iter::repeat(&0))
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for position in 0..4 {
            let index = (word >> (18 - 6 * position)) & 63;
            text.push(match position <= chunk.len() {
                true => char::from(ALPHABET[index as usize]),
                false => '=',
            });
        }
    }
    text
}
