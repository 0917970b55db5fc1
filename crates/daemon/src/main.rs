//! The command line of the daemon.

use driftspring::Daemon;
use driftspring_settings::Settings;

fn main() -> anyhow::Result<()> {
    // Replaced by the settings file and flags once `driftspring-settings` reads them.
    let settings = Settings::loopback("daemon-1".into(), "zone-1".into());
    let running = Daemon::start(settings)?;
    println!("{:?}", running.addresses());
    running.stop()
}
