//! Reading the settings, at the start and when the file changes.

use super::GatewayError;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use parking_lot::Mutex;
use radishpin_adapter::Settings;
use std::{fs, path::Path, sync::Arc};

/// Reads a settings file.
///
/// # Errors
/// The file cannot be read, or is not of the expected form.
pub fn read_settings(path: &Path) -> Result<Settings, GatewayError> {
    let bytes = fs::read(path).map_err(|cause| GatewayError::SettingsFile(path.into(), cause))?;
    Settings::decode(&bytes).map_err(|cause| GatewayError::Settings(path.into(), cause))
}

/// Reads the file again at each SIGHUP. Settings that cannot be read leave the old ones in force.
pub(crate) async fn watch_settings(path: &Path, settings: &Mutex<Arc<Settings>>) {
    let mut signals = match Signals::new([Signal::Hup]) {
        Ok(signals) => signals,
        Err(cause) => {
            log::error!(event = "reload_unavailable", cause:% = cause; "cannot handle SIGHUP");
            return;
        }
    };
    while signals.next().await.is_some() {
        match read_settings(path) {
            Ok(read) => {
                let changed = **settings.lock() != read;
                *settings.lock() = Arc::new(read);
                log::info!(event = "settings_reloaded", changed = changed; "settings read again");
            }
            Err(cause) => {
                log::error!(event = "settings_refused", cause:% = cause; "old settings stay in force");
            }
        }
    }
}
