use bytes::Bytes;

/// Size of a piece of a long body, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Bytes that a body may have with its first pieces, which are shorter so that short bodies take little.
const FIRST_BYTES: [usize; 3] = [4 * 1024, 16 * 1024, PIECE_BYTES];

/// Collects a body in pieces, so that it takes no more memory than is counted for it.
///
/// No piece is moved as the body grows: the memory that it leaves would be counted for nobody. Pieces of bodies of
/// any length have the same few sizes, so that one body takes the memory that another one has left.
///
/// ```
/// let mut buffer = room::BodyBuffer::default();
/// buffer.extend(b"whole", Some(5));
/// assert_eq!(buffer.into_pieces().concat(), b"whole");
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full_pieces: Vec<Bytes>,
    /// Bytes in full pieces.
    full_bytes: usize,
    /// Piece that is being filled.
    piece: Vec<u8>,
}

impl BodyBuffer {
    /// Returns the bytes that the buffer takes before more can be added; 0 if there is space. `length` is
    /// the length of the body if that is known.
    pub(crate) fn next_growth(&self, length: Option<usize>) -> usize {
        if self.spare_bytes() > 0 {
            return 0;
        }
        let known = self.full_bytes + self.piece.len();
        let mut first_sizes = FIRST_BYTES.into_iter();
        let next_size = first_sizes.find(|size| *size > known);
        let next_size = next_size.unwrap_or(known + PIECE_BYTES);
        let next_size = next_size.min(length.unwrap_or(usize::MAX));
        next_size.saturating_sub(known)
    }

    /// Takes the bytes that `next_growth` has returned.
    pub(crate) fn grow(&mut self, growth: usize) {
        let piece = std::mem::replace(&mut self.piece, Vec::with_capacity(growth));
        if !piece.is_empty() {
            self.full_bytes += piece.len();
            self.full_pieces.push(Bytes::from(piece));
        }
    }

    /// Adds bytes, and takes the memory that they need. `length` is the length of the body if that is known.
    pub fn extend(&mut self, mut bytes: &[u8], length: Option<usize>) {
        loop {
            bytes = &bytes[self.fill(bytes)..];
            if bytes.is_empty() {
                return;
            }
            // A body that is longer than was stated goes on as one of unknown length.
            let growth = match self.next_growth(length) {
                0 => self.next_growth(None),
                growth => growth,
            };
            self.grow(growth);
        }
    }

    /// Adds bytes as far as there is space; returns their number.
    pub(crate) fn fill(&mut self, bytes: &[u8]) -> usize {
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
