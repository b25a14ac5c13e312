//! Options of the links between the hosts of a site of guarded workers.

use std::time::Duration;

use hornbeam_transport::LinkOptions;

/// Timeout for connecting to a host. A round trip takes a few milliseconds. The
/// first packet to a host that is just starting is lost, and is sent again by
/// TCP only after a second, so a new attempt connects earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Gets the options of a link between two hosts.
pub(crate) fn link_options() -> LinkOptions {
    LinkOptions {
        connect_timeout: CONNECT_TIMEOUT,
        ..LinkOptions::default()
    }
}
