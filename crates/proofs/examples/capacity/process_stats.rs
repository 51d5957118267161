use std::fs;

/// Returns the resident memory of this process, in bytes.
pub fn own_resident_bytes() -> usize {
    resident_bytes("self")
}

/// Returns the resident memory of a process, in bytes; 0 if it no longer exists. `process` is an id
/// or `self`.
pub fn resident_bytes(process: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Returns the processor time of a process in user and system mode, in ticks of 10 ms; 0 if it no
/// longer exists.
pub fn processor_ticks(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let tick_field = |position: usize| {
        fields
            .get(position)
            .and_then(|field| field.parse::<u64>().ok())
    };
    tick_field(11).unwrap_or(0) + tick_field(12).unwrap_or(0)
}

/// Returns the load averages of the machine as `/proc/loadavg` gives them.
pub fn load_averages() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.trim().to_string()
}
