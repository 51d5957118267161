//! Standard base64 text with padding, as the store's items hold their values.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Returns the bytes as base64 text.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            let digit = (number >> (18 - 6 * position)) & 63;
            text.push(match position <= chunk.len() {
                true => char::from(DIGITS[digit as usize]),
                false => '=',
            });
        }
    }
    text
}
