//! Replicated values laid over the settings of a file: which come first, and which are refused.

mod support;

use lockpoint::config::overlay::{Overlay, OverlayError};
use rstest::rstest;
use serde_json::{json, Value};

const SERVICE: &str = "desks";

fn overlay() -> Overlay {
    Overlay::new(support::config("127.0.0.1:9".parse().expect("an address")), SERVICE)
}

/// The settings in force with these values laid over, all of which fit.
fn in_force(values: &[(&str, &str)]) -> Value {
    let values = values.iter().map(|(key, value)| (*key, value.as_bytes()));
    let (config, left_out) = overlay().in_force(values);
    assert_eq!(left_out, []);
    config.settings
}

#[test]
fn a_value_of_the_own_service_goes_before_that_of_all_in_either_order() {
    let (all, own) = (("all/rules.cold-share", "0.1"), ("service/desks/rules.cold-share", "0.2"));
    let other = ("service/judges/rules.cold-share", "0.3");
    for values in [[all, own, other], [other, own, all]] {
        assert_eq!(in_force(&values)["rules"]["cold-share"], json!(0.2));
    }
    assert_eq!(in_force(&[all, other])["rules"]["cold-share"], json!(0.1));
    assert_eq!(in_force(&[other]), overlay().file().settings, "that of another service changes nothing");
}

#[test]
fn a_row_of_a_list_goes_by_its_name() {
    let file = overlay().file().settings.clone();
    let name = file["classes"][0]["name"].as_str().expect("a name").to_owned();
    let settings = in_force(&[(&format!("all/classes.{name}.worth"), "2.5")]);
    let mut expected = file;
    expected["classes"][0]["worth"] = json!(2.5);
    assert_eq!(settings, expected, "nothing else has changed");
}

/// A value in force is read as that of a file: the figures that are derived from it change with it.
#[test]
fn figures_that_are_derived_from_the_settings_follow() {
    let values = [("all/bounds.most-held", "7"), ("all/bounds.connect-timeout-us", "250000")];
    let (config, left_out) = overlay().in_force(values.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert_eq!(left_out, []);
    assert_eq!((config.core.max_pending_calls, config.connect_timeout.0), (7, 250_000));
}

#[rstest]
#[case::no_prefix("rules.cold-share", "0.1", "a key is all/PATH or service/SERVICE/PATH")]
#[case::no_service("service//rules.cold-share", "0.1", "a key is all/PATH or service/SERVICE/PATH")]
#[case::unknown_path("all/rules.no-such", "1", "there is no such setting")]
#[case::whole_section("all/rules", "{}", "there is no such setting")]
#[case::list_of_classes("all/classes", "[]", "cannot take other lists")]
#[case::list_of_zones("all/zones", "[]", "cannot take other lists")]
#[case::name_of_a_row("all/classes.judge-call.name", "\"x\"", "cannot take other lists")]
#[case::unknown_row("all/classes.nobody.worth", "1", "'classes' has no row named 'nobody'")]
#[case::no_json("all/rules.cold-share", "much", "no JSON")]
#[case::share_above_one("all/rules.cold-share", "1.5", "1.5 is not from 0 to 1")]
#[case::share_below_zero("all/over-share-worth", "-0.1", "-0.1 is not from 0 to 1")]
#[case::wrong_type("all/rules.cold-us", "\"long\"", "invalid type")]
#[case::no_whole_number("all/bounds.most-held", "0", "no whole number above 0")]
fn what_cannot_be_in_force_is_refused_by_its_key(#[case] key: &str, #[case] value: &str, #[case] why: &str) {
    let error = overlay().check(key, Some(value.as_bytes())).expect_err("refused").to_string();
    assert!(error.contains(key) && error.contains(why), "{error}");
    // Wherever it came from, it is left out, and the file's settings stand.
    let (config, left_out) = overlay().in_force([(key, value.as_bytes())].into_iter());
    assert_eq!((config.settings, left_out.len()), (overlay().file().settings.clone(), 1));
}

/// Another service may have classes that this one does not know.
#[test]
fn a_row_that_only_another_service_has_is_not_refused() {
    assert_eq!(overlay().check("service/judges/classes.nobody.worth", Some(b"1")), Ok(()));
    let own = overlay().check("service/desks/classes.nobody.worth", Some(b"1"));
    assert!(matches!(own, Err(OverlayError::Row { .. })), "{own:?}");
}

#[test]
fn a_deletion_is_never_refused() {
    assert_eq!(overlay().check("all/rules.no-such", None), Ok(()));
}
