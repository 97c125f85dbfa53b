//! Replicated values that override the settings of a file: their precedence, and which values are refused.

mod support;

use lockpoint::config::overlay::{Overlay, OverlayError};
use rstest::rstest;
use serde_json::{json, Value};

const SERVICE: &str = "desks";

fn overlay() -> Overlay {
    Overlay::new(support::config("127.0.0.1:9".parse().expect("a valid address")), SERVICE)
}

/// Returns the settings in force with these values, all of which must be valid.
fn in_force(values: &[(&str, &str)]) -> Value {
    let values = values.iter().map(|(key, value)| (*key, value.as_bytes()));
    let (config, left_out) = overlay().effective_config(values);
    assert_eq!(left_out, []);
    config.settings
}

#[test]
fn a_value_for_the_own_service_overrides_one_for_all_services_in_either_order() {
    let (all, own) = (("all/rules.cold-share", "0.1"), ("service/desks/rules.cold-share", "0.2"));
    let other = ("service/judges/rules.cold-share", "0.3");
    for values in [[all, own, other], [other, own, all]] {
        assert_eq!(in_force(&values)["rules"]["cold-share"], json!(0.2));
    }
    assert_eq!(in_force(&[all, other])["rules"]["cold-share"], json!(0.1));
    assert_eq!(in_force(&[other]), overlay().file().settings, "a value for another service has no effect");
}

#[test]
fn a_row_of_a_list_is_addressed_by_its_name() {
    let file = overlay().file().settings.clone();
    let name = file["classes"][0]["name"].as_str().expect("the class has a name").to_owned();
    let settings = in_force(&[(&format!("all/classes.{name}.worth"), "2.5")]);
    let mut expected = file;
    expected["classes"][0]["worth"] = json!(2.5);
    assert_eq!(settings, expected, "only the value of the named row has changed");
}

/// Replicated values are parsed like those of a file: values derived from the settings change with them.
#[test]
fn values_derived_from_the_settings_follow_replicated_values() {
    let values = [("all/bounds.most-held", "7"), ("all/bounds.connect-timeout-us", "250000")];
    let (config, left_out) =
        overlay().effective_config(values.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert_eq!(left_out, []);
    assert_eq!((config.core.max_pending_calls, config.connect_timeout.0), (7, 250_000));
}

#[rstest]
#[case::without_prefix("rules.cold-share", "0.1", "invalid key, expected all/PATH or service/SERVICE/PATH")]
#[case::without_service(
    "service//rules.cold-share",
    "0.1",
    "invalid key, expected all/PATH or service/SERVICE/PATH"
)]
#[case::unknown_path("all/rules.no-such", "1", "unknown setting")]
#[case::whole_section("all/rules", "{}", "unknown setting")]
#[case::list_of_classes("all/classes", "[]", "cannot change while the controller runs")]
#[case::list_of_zones("all/zones", "[]", "cannot change while the controller runs")]
#[case::name_of_a_row("all/classes.judge-call.name", "\"x\"", "cannot change while the controller runs")]
#[case::unknown_row("all/classes.nobody.worth", "1", "'classes' has no row named 'nobody'")]
#[case::not_json("all/rules.cold-share", "much", "invalid JSON")]
#[case::share_above_one("all/rules.cold-share", "1.5", "1.5 is not between 0 and 1")]
#[case::share_below_zero("all/over-share-worth", "-0.1", "-0.1 is not between 0 and 1")]
#[case::wrong_type("all/rules.cold-us", "\"long\"", "invalid type")]
#[case::not_a_whole_number("all/bounds.most-held", "0", "0 is not a positive integer")]
fn an_invalid_value_is_refused_with_an_error_that_names_its_key(
    #[case] key: &str,
    #[case] value: &str,
    #[case] why: &str,
) {
    let error = overlay().check(key, Some(value.as_bytes())).expect_err("refused").to_string();
    assert!(error.contains(key) && error.contains(why), "{error}");
    // An invalid value that is in the store anyway is ignored, and the file's setting stays in force.
    let (config, left_out) = overlay().effective_config([(key, value.as_bytes())].into_iter());
    assert_eq!((config.settings, left_out.len()), (overlay().file().settings.clone(), 1));
}

/// Another service may have classes that are unknown here.
#[test]
fn an_unknown_row_is_refused_only_for_the_own_service() {
    assert_eq!(overlay().check("service/judges/classes.nobody.worth", Some(b"1")), Ok(()));
    let own = overlay().check("service/desks/classes.nobody.worth", Some(b"1"));
    assert!(matches!(own, Err(OverlayError::UnknownRow { .. })), "{own:?}");
}

#[test]
fn deleting_a_key_is_never_refused() {
    assert_eq!(overlay().check("all/rules.no-such", None), Ok(()));
}
