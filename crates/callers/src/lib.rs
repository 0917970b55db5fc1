//! Callers' connections, and how they end.
//!
//! The HTTP library reads and writes a connection through [`socket::CallerStream`], which keeps the socket. Whoever ends the
//! connection (an answer with `Connection: close`, a time limit, a cut, the library), its end is the same: what was written
//! is sent, the sending side is closed, and what the caller still sends is read and discarded for a limited time
//! ([`linger`]). A socket that is closed while bytes of its peer are unread is reset instead, and a reset discards what the
//! peer has not read yet.

pub mod linger;
pub mod socket;

pub use linger::Lingering;
