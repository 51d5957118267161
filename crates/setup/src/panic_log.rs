use {
    slog::{Logger, error},
    std::panic::{self, PanicHookInfo},
};

/// Has each panic of this process logged in one line, with its message and place, before it is
/// printed as usual: the log has a thread of its own, and may come too late if the process ends.
pub fn log_panics(log: &Logger) {
    let log = log.clone();
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        error!(log, "panic"; "reason" => panic_message(panic), "place" => place);
        print(panic);
    }));
}

fn panic_message(panic: &PanicHookInfo<'_>) -> String {
    let payload = panic.payload_as_str();
    payload.unwrap_or("not a text").to_string()
}
