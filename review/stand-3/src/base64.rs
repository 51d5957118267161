//! Standard base64 with padding.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes a text.
pub fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for group in text.as_bytes().chunks(3) {
        let mut bits = 0u32;
        for position in 0..3 {
            bits = bits << 8 | u32::from(group.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            let index = (bits >> (18 - 6 * position) & 63) as usize;
            encoded.push(match position <= group.len() {
                true => char::from(LETTERS[index]),
                false => '=',
            });
        }
    }
    encoded
}
