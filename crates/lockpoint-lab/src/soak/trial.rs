//! One trial: a handful of controllers and their peers under the faults of a plan, judged from outside.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};

use crate::audit::{Audit, Counts};
use crate::event_log::{now, time_of, EventLog, RecordedEvent};
use crate::experiment::Experiment;
use crate::soak::callers::{Callers, Dispatcher};
use crate::soak::controller::ControllerProcess;
use crate::soak::faults::Targets;
use crate::soak::peers::{Addresses, Peers};
use crate::soak::plan::{Plan, CONTROLLERS, LOAD_TIME, SERVERS};
use crate::under_test::LabError;

/// After the load, calls are released or overdue within this time.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// How often the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a trial.
#[derive(Debug)]
pub struct Verdict {
    /// What was broken: a line for each rule or process.
    pub failures: Vec<String>,
    /// The checker's counts.
    pub counts: Counts,
    /// The number of starts of controllers.
    pub starts: u32,
}

/// The settings of all controllers of a trial.
fn settings(plan: &Plan) -> Result<serde_json::Value, LabError> {
    let servers: Vec<String> =
        (0..SERVERS).map(|n| format!("[[server]]\nname = 's{n}'\nspeaks = 'sip'\n")).collect();
    let text = format!(
        "name = 'soak'\nseconds = 1\nload = 1\nhold_ms = {}\ncallers = {{ patience_ms = {} }}\n{}",
        plan.hold.as_millis(),
        plan.deadline.as_millis(),
        servers.concat()
    );
    let experiment = Experiment::parse(&text).map_err(LabError::NotServing)?;
    let mut settings = experiment.settings();
    settings["balancers"] = CONTROLLERS.into();
    Ok(settings)
}

/// Feeds the checker and the callers with what is seen.
struct Recorder {
    audit: RefCell<Audit>,
    dispatcher: Rc<Dispatcher>,
    trace: RefCell<BufWriter<File>>,
    started_at: Instant,
}

impl Recorder {
    async fn record(self: Rc<Self>, mut seen: mpsc::UnboundedReceiver<RecordedEvent>) {
        while let Some(RecordedEvent { at, source, sid, kind }) = seen.recv().await {
            let ms = at.saturating_duration_since(self.started_at).as_secs_f64() * 1_000.0;
            let _ = writeln!(self.trace.borrow_mut(), "{ms:.1} {source} {sid} {kind:?}");
            self.audit.borrow_mut().record(time_of(at), &source, &sid, &kind);
            self.dispatcher.dispatch(&sid, &kind);
        }
    }
}

/// Runs the trial of a plan. Its trace and the logs of the controllers are written to `directory`.
pub async fn run(plan: Plan, program: &Path, directory: &Path) -> Result<Verdict, LabError> {
    let socket = |why| LabError::Socket { what: "a peer".to_owned(), why };
    let trace_file: PathBuf = directory.join("trace.txt");
    let trace = File::create(&trace_file).map_err(|e| LabError::file(&trace_file, e))?;
    let events = EventLog::without_history();
    let dispatcher = Rc::new(Dispatcher::default());
    let recorder = Rc::new(Recorder {
        audit: RefCell::default(),
        dispatcher: dispatcher.clone(),
        trace: RefCell::new(BufWriter::new(trace)),
        started_at: Instant::now(),
    });
    let recording = spawn_local(recorder.clone().record(events.subscribe()));
    let (plan, addresses) = (Rc::new(plan), Rc::new(Addresses::new()));
    let peers = Peers::start(&events, &plan, &addresses).await.map_err(socket)?;
    let mut controllers = Vec::new();
    for number in 0..CONTROLLERS {
        let at = addresses.free().map_err(socket)?;
        controllers.push(ControllerProcess::new(number, at, program, directory));
    }
    let settings = settings(&plan)?;
    let targets = Rc::new(Targets {
        events: events.clone(),
        plan: plan.clone(),
        peers,
        controllers: controllers.clone(),
        settings,
        skipped: Cell::new(0),
        failures: RefCell::default(),
    });
    for controller in &controllers {
        targets.start(controller).await;
    }
    run_load(&targets, &dispatcher).await;
    let now = now();
    events.record("end", "", crate::event_log::EventKind::Other("end".to_owned()));
    tokio::task::yield_now().await;
    let mut audit = recorder.audit.borrow_mut();
    audit.finish(now);
    let _ = recorder.trace.borrow_mut().flush();
    let mut failures: Vec<String> = audit
        .violations()
        .iter()
        .map(|(rule, (times, first))| format!("{rule:?} {times}x: {first}"))
        .collect();
    failures.append(&mut targets.failures.borrow_mut());
    for controller in &controllers {
        controller.has_ended();
        failures.extend(controller.failures.borrow().iter().cloned());
        controller.kill();
    }
    recording.abort();
    let starts = controllers.iter().map(|controller| controller.generation.get()).sum();
    Ok(Verdict { failures, counts: audit.counts.clone(), starts })
}

/// Runs callers and faults until all calls have ended or are overdue.
async fn run_load(targets: &Rc<Targets>, dispatcher: &Rc<Dispatcher>) {
    let started_at = Instant::now();
    let mut tasks: Vec<JoinHandle<()>> = Vec::new();
    let mut requesting: Vec<JoinHandle<()>> = Vec::new();
    for controller in &targets.controllers {
        let callers = Callers::new(&targets.events, &targets.plan, controller, dispatcher);
        requesting.push(spawn_local(callers.clone().request_calls(started_at + LOAD_TIME)));
        tasks.push(spawn_local(callers.keep_connections()));
    }
    let checked = targets.clone();
    tasks.push(spawn_local(async move {
        loop {
            for controller in &checked.controllers {
                controller.has_ended();
                controller.check_limits();
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }));
    for (at, fault) in targets.plan.faults.clone() {
        tokio::time::sleep_until((started_at + at).into()).await;
        spawn_local(targets.clone().apply(fault));
    }
    for requests in requesting {
        let _ = requests.await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    tasks.iter().for_each(JoinHandle::abort);
}
