//! The configuration in force on a host, and long polls for a newer one.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use hornbeam_timer::TimerService;
use tokio::sync::watch;

/// `VersionedConfig` is a configuration with its version.
pub(crate) type VersionedConfig = (ConfigVersion, Arc<Configuration>);

/// `ConfigWatch` holds the configuration in force on this host and notifies of
/// newer ones.
#[derive(Clone, Debug)]
pub(crate) struct ConfigWatch {
    current: Arc<watch::Sender<Option<VersionedConfig>>>,
}

impl ConfigWatch {
    /// Creates a watch without a configuration.
    pub(crate) fn new() -> Self {
        Self {
            current: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Gets the version in force, 0 if none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |(version, _)| *version)
    }

    /// Puts a version in force unless an equal or newer one is.
    pub(crate) fn publish(
        &self,
        version: ConfigVersion,
        configuration: Arc<Configuration>,
    ) -> bool {
        self.current.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|(old, _)| version > *old);
            if newer {
                *current = Some((version, configuration));
            }
            newer
        })
    }

    /// Waits for a version above the given one.
    pub(crate) async fn newer_than(&self, version: ConfigVersion) -> Option<VersionedConfig> {
        let mut changes = self.current.subscribe();
        let newer = |current: &Option<VersionedConfig>| {
            current
                .as_ref()
                .is_some_and(|(current, _)| *current > version)
        };
        let current = changes.wait_for(newer).await.ok()?;
        current.clone()
    }
}

/// Maximum duration of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Answers a long poll: the configuration once it is newer than
/// `have_version`, or `None` after `wait`.
pub(crate) async fn long_poll(
    config: &ConfigWatch,
    have_version: ConfigVersion,
    wait: Duration,
    timer: &TimerService,
) -> Option<Box<(ConfigVersion, Configuration)>> {
    let newer = config.newer_than(have_version);
    let newer = timer.timeout(wait.min(MAX_WAIT), newer).await.flatten();
    newer.map(|(version, configuration)| Box::new((version, (*configuration).clone())))
}
