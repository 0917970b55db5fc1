//! Seeded traces of requests with deeply nested prefixes.
