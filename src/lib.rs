//! lockpoint: a session controller that sets up calls at shared call servers.
//!
//! The decision module, [`rules::Controller`], takes [`interface::Event`]s and returns
//! [`interface::Action`]s. It does no I/O, reads no clock and starts no threads: the host program passes in
//! the time and the random seed.
//!
//! ```
//! use lockpoint::interface::*;
//! use lockpoint::rules::Controller;
//!
//! let mut settings = Settings { max_attempts: 3, ..Settings::default() };
//! let class = ClassSettings { setup_target: Span::from_millis(1500), ..ClassSettings::default() };
//! settings.classes.push(class);
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! // The server list names two call servers.
//! let server = |n: u32| ServerEntry {
//!     server: ServerId { address: n, port: 7000 },
//!     cell: Cell(n as u16),
//!     zone: 0,
//!     started: Time(0),
//!     state: ServerState::Ready,
//! };
//! let list = Event::List { kind: ListKind::Full, entries: vec![server(1), server(2)] };
//! controller.handle(Time(1_000_000), list, &mut actions);
//!
//! // A call comes in whose first choice is server 1.
//! let call = Event::Call(NewCall {
//!     call: CallId(42),
//!     class: 0,
//!     number: Number(0),
//!     valid_until: Time(4_000_000),
//!     first_choice: Some(Cell(1)),
//!     redialled: false,
//!     tenant: None,
//!     in_transit: false,
//! });
//! controller.handle(Time(1_000_000), call, &mut actions);
//! let sent_to = |actions: &[Action]| actions.iter().find_map(|a| match a {
//!     Action::Send { server, .. } => Some(server.address),
//!     _ => None,
//! });
//! assert_eq!(sent_to(&actions), Some(1));
//!
//! // Server 1 rejects it because its processor is full: the call is diverted at once.
//! actions.clear();
//! controller.handle(Time(1_050_000), Event::Ended(AttemptEnd {
//!     call: CallId(42),
//!     attempt: Attempt(0),
//!     server: server(1).server,
//!     outcome: Outcome::Full,
//!     cause: Cause::ProcessorFull,
//!     took: Span::from_millis(50),
//!     closed: false,
//!     load: LoadReport::default(),
//! }), &mut actions);
//! assert_eq!(sent_to(&actions), Some(2));
//!
//! // Server 2 takes it: the call is established, and no action is left to do.
//! actions.clear();
//! controller.handle(Time(1_120_000), Event::Established {
//!     call: CallId(42), attempt: Attempt(1), server: server(2).server, took: Span::from_millis(70),
//! }, &mut actions);
//! assert!(actions.is_empty());
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod config;
pub mod console;
pub mod control;
pub mod core;
pub mod counters;
pub mod directory;
pub mod drain;
pub mod fleet;
pub mod front;
pub mod iax2;
pub mod instance;
pub mod interface;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod outages;
pub mod random;
pub mod rates;
pub mod recovery;
pub mod replication;
pub mod rules;
pub mod secrets;
pub mod shares;
pub mod signals;
pub mod takeover;
pub mod timers;
pub mod upstream;
pub mod window;
pub mod wire;
