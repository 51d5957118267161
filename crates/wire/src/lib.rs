//! Messages between the system's own processes: sealed datagrams and frames.
