//! Tests of the settings of an entry.

use bulrushlatch_node::{entry::flags::BulrushSiteEntry, settings::EntrySettings};

/// Returns the settings that the required flags and `extra` ones give, or the problems found.
fn read(extra: &[&str]) -> Result<EntrySettings, Vec<String>> {
    let required = [
        ("--name", "entry-1"),
        ("--zone", "a"),
        ("--caller-listen", "127.0.0.1:0"),
        ("--ready-listen", "127.0.0.1:0"),
        ("--link-listen", "127.0.0.1:0"),
        ("--store", "127.0.0.1:1"),
    ];
    let required = required.into_iter().flat_map(|(flag, value)| [flag, value]);
    let arguments = required.chain(extra.iter().copied()).map(Into::into).collect();
    let flags = BulrushSiteEntry::from_vec(arguments).expect("known flags");
    EntrySettings::from_flags(flags).map_err(|error| error.problems)
}

/// An operator who switches placement by speed off with a wrong word must learn of it.
#[test]
fn speed_placement_is_on_unless_it_is_switched_off() {
    assert!(read(&[]).expect("valid settings").speed_placement);
    assert!(!read(&["--speed-placement", "off"]).expect("valid settings").speed_placement);
    let problems = read(&["--speed-placement", "no"]).expect_err("neither on nor off");
    assert_eq!(problems, ["--speed-placement must be on or off"]);
}
