use std::fs;

/// Resident bytes of this process.
pub fn own_memory() -> usize {
    memory_of("self")
}

/// Resident bytes of a process; 0 if it is gone.
pub fn memory_of(process: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Processor time of a process in ticks of a hundredth of a second; 0 if it is gone.
pub fn ticks_of(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let field = |place: usize| {
        fields
            .get(place)
            .and_then(|field| field.parse::<u64>().ok())
    };
    field(11).unwrap_or(0) + field(12).unwrap_or(0)
}

/// Load averages of the machine.
pub fn own_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.trim().to_string()
}
