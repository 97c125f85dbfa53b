//! lockpoint: the decisions of an edge controller that sets calls up at shared core servers.
//!
//! [`rules::Controller`] takes [`interface::Event`]s and answers with [`interface::Action`]s. It does no I/O,
//! keeps no clock and starts no thread: time is what the caller says it is, chance comes from the seed.
//!
//! ```
//! use lockpoint::interface::*;
//! use lockpoint::rules::Controller;
//!
//! let mut settings = Settings { max_attempts: 3, ..Settings::default() };
//! settings.classes.push(ClassSettings { aim: Span::from_millis(1500), ..ClassSettings::default() });
//! let mut gateway = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! // The list names two servers.
//! let server = |n: u32| ServerEntry {
//!     server: ServerId { address: n, port: 7000 },
//!     cell: Cell(n as u16),
//!     zone: 0,
//!     started: Time(0),
//!     state: ServerState::Ready,
//! };
//! let list = Event::List { kind: ListKind::Full, entries: vec![server(1), server(2)] };
//! gateway.handle(Time(1_000_000), list, &mut actions);
//!
//! // A call arrives that would rather go to server 1.
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
//! gateway.handle(Time(1_000_000), call, &mut actions);
//! let sent_to = |actions: &[Action]| actions.iter().find_map(|a| match a {
//!     Action::Send { server, .. } => Some(server.address),
//!     _ => None,
//! });
//! assert_eq!(sent_to(&actions), Some(1));
//!
//! // Server 1 answers that its processor is full: the call is diverted at once.
//! actions.clear();
//! gateway.handle(Time(1_050_000), Event::Ended(AttemptEnd {
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
//! // Server 2 takes it: the call stands and the gateway owes nothing more.
//! actions.clear();
//! gateway.handle(Time(1_120_000), Event::Stands {
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
pub mod draw;
pub mod fleet;
pub mod front;
pub mod iax2;
pub mod instance;
pub mod interface;
pub mod logs;
pub mod mechanics;
pub mod metrics;
pub mod net;
pub mod outages;
pub mod recovery;
pub mod replication;
pub mod rules;
pub mod secrets;
pub mod shares;
pub mod signals;
pub mod takeover;
pub mod upstream;
pub mod window;
pub mod wire;
