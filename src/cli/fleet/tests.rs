//! Tests of `cli::fleet`.

use super::*;

#[test]
fn metrics_are_formatted_as_a_table_with_dashes_for_missing_values() {
    let answer = "SUCCESS figures follow\ncontroller.pending:3|g\ncontroller.fleet.sent:4|c\n\
        controller.fleet.permits_lent_256ths:384|c\ncontroller.fleet.server.a.example.wait_ms:70|g\n\
        controller.fleet.server.a.example.age_ms:9|g\ncontroller.fleet.server.a.example.origin:2|g\n\
        controller.fleet.server.b.warned:1|g\ncontroller.fleet.server.b.permits_milli:1500|g\nEOT\n";
    let limits = read(&ConsoleAnswer { name: "desks".to_owned(), answer: answer.to_owned() });
    assert_eq!((limits.shares, limits.lent, limits.servers.len()), (true, 1.5, 2));
    let text = table(&limits);
    let words = |at: usize| text.lines().nth(at).expect("a line").split_whitespace().collect::<Vec<_>>();
    assert_eq!(words(2), ["a.example", "70", "9", "2", "-", "-", "no"]);
    assert_eq!(words(3), ["b", "-", "-", "-", "-", "1.50", "yes"]);
    let alone = read(&ConsoleAnswer { name: "desks".to_owned(), answer: "SUCCESS\nEOT\n".to_owned() });
    assert!(table(&alone).contains("not in a fleet"));
}
