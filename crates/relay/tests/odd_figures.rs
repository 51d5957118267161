//! Guards against figures of others that no clock can express.

use {relay::keep_alive_timeout, std::time::Instant};

#[test]
fn any_idle_time_of_a_target_can_be_waited_for() {
    for value in [
        "18446744073709551615",
        "99999999999999999999",
        "1e30",
        "-1",
        "0",
        "NaN",
    ] {
        let header = (
            String::from("keep-alive"),
            format!("timeout={value}").into_bytes(),
        );
        let timeout = keep_alive_timeout(&vec![header]).unwrap_or_default();
        assert!(Instant::now().checked_add(timeout).is_some(), "{value}");
    }
}
