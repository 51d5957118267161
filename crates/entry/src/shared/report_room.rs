use {
    room::{RoomCounts, UploadRoom},
    setup::MetricRegistry,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// Interval of reports: each writes one line of the log at the most.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the room of the connections at an address in metrics, and in the log where connections had to
/// end, for as long as the process runs.
pub async fn report_room(
    address: String,
    counts: Arc<RoomCounts>,
    metrics: MetricRegistry,
    log: Logger,
) {
    let mut known = (0, 0);
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        metrics.gauge(&format!("clients.{address}.bytes"), counts.held() as u64);
        let now = (counts.ended(), counts.refused());
        if now == known {
            continue;
        }
        let (ended, refused) = (now.0 - known.0, now.1 - known.1);
        for (name, count) in [("ended", ended), ("refused", refused)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            metrics.count(&format!("clients.{address}.{name}"), count);
        }
        warn!(log, "clients gave way";
            "address" => &address, "ended" => ended, "refused" => refused, "bytes" => counts.held());
        known = now;
    }
}

/// Reports the room of bodies in metrics, for as long as the process runs.
pub async fn report_uploads(room: Arc<UploadRoom>, metrics: MetricRegistry) {
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        metrics.gauge("uploads.bytes", room.held() as u64);
    }
}
