//! The stager.

use balsamjunction_settings::StagerSettings;

use crate::error::DaemonError;

/// Runs a stager until it is told to stop.
pub async fn serve(_settings: StagerSettings) -> Result<(), DaemonError> {
    crate::process::stop_signal().await
}
