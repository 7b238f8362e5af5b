//! The programs of bulrushlatch; see `src/bin`. Their code is in the other crates.
