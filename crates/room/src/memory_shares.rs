use {crate::machine_memory, std::fmt};

/// Least memory with which a process can work, in MB.
pub const MIN_MEMORY_MB: f64 = 64.0;
/// Bytes in a MB of the settings.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Memory that the program takes before it serves anything, in bytes. It is not divided.
const PROGRAM_BYTES: u64 = 20_000_000;
/// Share of the memory for the bodies of requests.
const UPLOAD_SHARE: f64 = 0.45;
/// Share of the memory for answers that are not streamed.
const ANSWER_SHARE: f64 = 0.15;
/// Share of the memory for the connections of clients at all addresses.
const CLIENT_SHARE: f64 = 0.2;
/// Parts of the share of clients: for callers, for requests that other entries hand over, for messages of
/// other entries, and for each of three other addresses. They add up to 1.
const CALLER_PART: f64 = 0.6;
const HOP_PART: f64 = 0.15;
const PEER_PART: f64 = 0.1;
const AUXILIARY_PART: f64 = 0.05;

/// The settings allow a process too little memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryFault {
    memory_mb: f64,
}

impl fmt::Display for MemoryFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} is not at least {MIN_MEMORY_MB}",
            self.memory_mb
        )
    }
}

impl std::error::Error for MemoryFault {}

/// What the parts of a process may use of its memory. The rest is for its state, holes in its heap, and what the kernel
/// keeps of answers that arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    bytes: u64,
}

impl MemoryShares {
    /// Divides the memory of a process, in bytes.
    pub fn new(bytes: u64) -> Self {
        Self { bytes }
    }

    /// Divides the memory that the settings allow, in MB, or that of the machine if they state none.
    ///
    /// # Errors
    ///
    /// Fails if it is less than [`MIN_MEMORY_MB`], or no number.
    ///
    /// ```
    /// let shares = room::MemoryShares::of_settings(Some(100.0)).unwrap();
    /// assert_eq!(shares.upload_bytes(), 36_000_000);
    /// assert!(room::MemoryShares::of_settings(Some(10.0)).is_err());
    /// ```
    pub fn of_settings(memory_mb: Option<f64>) -> Result<Self, MemoryFault> {
        match memory_mb {
            None => Ok(Self::new(machine_memory())),
            Some(memory_mb) if memory_mb >= MIN_MEMORY_MB => {
                Ok(Self::new((memory_mb * BYTES_PER_MB) as u64))
            }
            Some(memory_mb) => Err(MemoryFault { memory_mb }),
        }
    }

    /// Returns the number of bytes that the bodies of requests may use.
    pub fn upload_bytes(self) -> usize {
        self.share(UPLOAD_SHARE)
    }

    /// Returns the number of bytes that answers that are not streamed may use.
    pub fn answer_bytes(self) -> usize {
        self.share(ANSWER_SHARE)
    }

    /// Returns the number of bytes that the connections of callers may use.
    pub fn caller_bytes(self) -> usize {
        self.share(CLIENT_SHARE * CALLER_PART)
    }

    /// Returns the number of bytes that connections for requests handed over may use.
    pub fn hop_bytes(self) -> usize {
        self.share(CLIENT_SHARE * HOP_PART)
    }

    /// Returns the number of bytes that connections for messages of other entries may use until they
    /// have proved that they come from one.
    pub fn peer_bytes(self) -> usize {
        self.share(CLIENT_SHARE * PEER_PART)
    }

    /// Returns the number of bytes that the connections of each other address may use.
    pub fn auxiliary_bytes(self) -> usize {
        self.share(CLIENT_SHARE * AUXILIARY_PART)
    }

    fn share(self, share: f64) -> usize {
        (self.bytes.saturating_sub(PROGRAM_BYTES) as f64 * share) as usize
    }
}
