//! The programs of bulrushlatch, each in a file of `src/bin`; other crates implement them.
