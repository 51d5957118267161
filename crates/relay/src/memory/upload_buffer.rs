use bytes::{Bytes, BytesMut};

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// Collects a body in pieces, so that it takes no more memory than has arrived.
#[derive(Default)]
pub(super) struct UploadBuffer {
    whole_pieces: Vec<BytesMut>,
    /// Piece that is being filled.
    piece: BytesMut,
}

impl UploadBuffer {
    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.whole_pieces.len() * PIECE_BYTES + self.piece.len()
    }

    /// Adds bytes that have arrived.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let count = bytes.len().min(PIECE_BYTES - self.piece.len());
            self.piece.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
            if self.piece.len() == PIECE_BYTES {
                let next = BytesMut::with_capacity(PIECE_BYTES);
                let whole_piece = std::mem::replace(&mut self.piece, next);
                self.whole_pieces.push(whole_piece);
            }
        }
    }

    /// Returns all that has arrived, in pieces.
    pub fn into_pieces(self) -> Vec<Bytes> {
        let pieces = self.whole_pieces.into_iter().chain([self.piece]);
        let pieces = pieces.filter(|piece| !piece.is_empty());
        pieces.map(BytesMut::freeze).collect()
    }
}
