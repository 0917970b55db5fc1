//! The settings file for a gateway that a test runs as a separate process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Writes a settings file to `folder` for a gateway that uses `store`, with `times` in its section `[times]`; returns its path.
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
