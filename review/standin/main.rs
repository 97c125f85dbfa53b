//! The review's cases. `standin CASE RECORD`, started from the repository's root.
mod common;
mod lost_zone;
mod lull;
mod spoilt;
mod flood;
mod half_message;
mod hang_ups;
mod slow_bulletin;

fn main() {
    common::end_with_parent();
    let arguments: Vec<String> = std::env::args().collect();
    let record = arguments.get(2).cloned().unwrap_or_else(|| "/dev/null".to_owned());
    let log = common::Log::create(&record);
    match arguments.get(1).map(String::as_str) {
        Some("lost-zone") => lost_zone::run(&log),
        Some("lull") => lull::run(&log),
        Some("spoilt") => spoilt::run(&log),
        Some("half-message") => half_message::run(&log),
        Some("flood") => flood::run(&log),
        Some("hang-ups") => hang_ups::run(&log),
        Some("slow-bulletin") => slow_bulletin::run(&log),
        _ => std::process::exit(2),
    }
}
