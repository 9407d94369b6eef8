//! Reads the settings file at the start and again at each SIGHUP.

use super::{GatewayError, StoreAddress};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use parking_lot::Mutex;
use radishpin_adapter::Settings;
use std::{fs, path::Path, sync::Arc};

/// Reads and decodes a settings file.
///
/// # Errors
/// The file cannot be read or decoded.
pub fn read_settings(path: &Path) -> Result<Settings, GatewayError> {
    let bytes = fs::read(path).map_err(|cause| GatewayError::SettingsFile(path.into(), cause))?;
    Settings::decode(&bytes).map_err(|cause| GatewayError::Settings(path.into(), cause))
}

/// SIGHUP, which no longer ends the process.
#[derive(Debug)]
pub(crate) struct ReloadSignal(Option<Signals>);

impl ReloadSignal {
    /// Handles the signal from now on. Where that fails, settings are not reloaded until a restart.
    pub(crate) fn register() -> Self {
        let signals = Signals::new([Signal::Hup]);
        let signals = signals.inspect_err(|cause| {
            log::error!(event = "reload_unavailable", cause:% = cause; "cannot handle SIGHUP; settings are not reloaded until a restart");
        });
        Self(signals.ok())
    }
}

/// Puts reloaded settings in force, with the address of the store.
pub(crate) fn apply_settings(
    reloaded: Settings,
    settings: &Mutex<Arc<Settings>>,
    store_address: &StoreAddress,
) {
    let changed = **settings.lock() != reloaded;
    store_address.set(reloaded.store);
    *settings.lock() = Arc::new(reloaded);
    log::info!(event = "settings_reloaded", changed = changed; "settings reloaded");
}

/// Reloads the file at each SIGHUP, with the address of the store. If that fails, the previous settings stay in force.
pub(crate) async fn watch_settings(
    path: &Path,
    settings: &Mutex<Arc<Settings>>,
    store_address: &StoreAddress,
    reload_signal: ReloadSignal,
) {
    let Some(mut signals) = reload_signal.0 else {
        return;
    };
    while signals.next().await.is_some() {
        match read_settings(path) {
            Ok(reloaded) => apply_settings(reloaded, settings, store_address),
            Err(cause) => {
                log::error!(event = "settings_refused", cause:% = cause; "cannot reload the settings; the previous ones stay in force");
            }
        }
    }
}
