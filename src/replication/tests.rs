//! Unit tests of replication; the integration tests are in `tests/replication.rs`.
