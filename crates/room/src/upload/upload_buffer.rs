use bytes::Bytes;

/// Size of a whole piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Sizes that a piece has before it is whole, in bytes.
const PART_BYTES: [usize; 2] = [4 * 1024, 16 * 1024];

/// Collects a body in pieces, so that it takes no more memory than is counted for it.
#[derive(Default)]
pub(super) struct UploadBuffer {
    whole_pieces: Vec<Bytes>,
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
        let is_whole = self.piece.len() == PIECE_BYTES;
        let known = match is_whole {
            true => 0,
            false => self.piece.capacity(),
        };
        let mut steps = PART_BYTES.into_iter().chain([PIECE_BYTES]);
        let step = steps.find(|step| *step > known);
        let whole_count = self.whole_pieces.len() + usize::from(is_whole);
        let rest = length.map_or(usize::MAX, |length| {
            length.saturating_sub(whole_count * PIECE_BYTES)
        });
        let step = step.unwrap_or(PIECE_BYTES);
        step.min(rest).saturating_sub(known)
    }

    /// Takes the bytes that `next_growth` has returned.
    pub fn grow(&mut self, growth: usize) {
        if self.piece.len() == PIECE_BYTES {
            let whole_piece = std::mem::take(&mut self.piece);
            self.whole_pieces.push(Bytes::from(whole_piece));
        }
        let known = self.piece.len();
        self.piece
            .reserve_exact(self.piece.capacity() + growth - known);
    }

    /// Adds bytes as far as there is space; returns their number.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.spare_bytes());
        self.piece.extend_from_slice(&bytes[..count]);
        count
    }

    /// Returns all that has arrived, in pieces.
    pub fn into_pieces(self) -> Vec<Bytes> {
        let pieces = self
            .whole_pieces
            .into_iter()
            .chain([Bytes::from(self.piece)]);
        pieces.filter(|piece| !piece.is_empty()).collect()
    }

    fn spare_bytes(&self) -> usize {
        self.piece.capacity() - self.piece.len()
    }
}
