use bytes::Bytes;

/// Size of a piece of a long body, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Bytes that a body may have with its first pieces, which are shorter so that short bodies take little.
const FIRST_BYTES: [usize; 3] = [4 * 1024, 16 * 1024, PIECE_BYTES];

/// Collects a body in pieces, so that it takes no more memory than is counted for it. No piece is moved
/// as the body grows: the memory that it leaves would be counted for nobody.
#[derive(Default)]
pub(super) struct UploadBuffer {
    full_pieces: Vec<Bytes>,
    /// Bytes in full pieces.
    full_bytes: usize,
    /// Piece that is being filled.
    piece: Vec<u8>,
}

impl UploadBuffer {
    /// Returns the bytes that the buffer takes before more can be added; 0 if there is space. `length` is
    /// the length of the body if that is known.
    pub fn next_growth(&self, length: Option<usize>) -> usize {
        if self.spare_bytes() > 0 {
            return 0;
        }
        let known = self.full_bytes + self.piece.len();
        let mut first_sizes = FIRST_BYTES.into_iter();
        let next_size = first_sizes.find(|size| *size > known);
        let next_size = next_size.unwrap_or(known + PIECE_BYTES);
        next_size.min(length.unwrap_or(usize::MAX)) - known
    }

    /// Takes the bytes that `next_growth` has returned.
    pub fn grow(&mut self, growth: usize) {
        let piece = std::mem::replace(&mut self.piece, Vec::with_capacity(growth));
        if !piece.is_empty() {
            self.full_bytes += piece.len();
            self.full_pieces.push(Bytes::from(piece));
        }
    }

    /// Adds bytes as far as there is space; returns their number.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.spare_bytes());
        self.piece.extend_from_slice(&bytes[..count]);
        count
    }

    /// Returns all that has arrived, in pieces.
    pub fn into_pieces(self) -> Vec<Bytes> {
        let last_piece = Bytes::from(self.piece);
        let pieces = self.full_pieces.into_iter().chain([last_piece]);
        pieces.filter(|piece| !piece.is_empty()).collect()
    }

    fn spare_bytes(&self) -> usize {
        self.piece.capacity() - self.piece.len()
    }
}
