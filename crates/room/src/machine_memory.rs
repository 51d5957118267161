/// Memory that is assumed if the machine does not tell its own, in bytes.
const ASSUMED_MEMORY: u64 = 256 * 1024 * 1024;

/// Returns the memory of the machine in bytes.
pub fn machine_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    read_total(&text).unwrap_or(ASSUMED_MEMORY)
}

fn read_total(text: &str) -> Option<u64> {
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
