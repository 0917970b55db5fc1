//! The settings file of a gateway that a test runs as a process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Writes settings into `folder` for a gateway that uses this store, with these settings of times; returns the file.
pub fn write_settings(folder: &Path, store: SocketAddr, times: &str) -> PathBuf {
    let text = format!(
        r#"
        name = "gateway"
        zone = "z"
        store = "{store}"
        [listen]
        callers = "127.0.0.1:0"
        health = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        [times]
        {times}
        "#
    );
    let file = folder.join("gateway.toml");
    std::fs::write(&file, text).expect("a settings file");
    file
}
