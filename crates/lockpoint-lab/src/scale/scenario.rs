//! The faults, and the script of timed actions for each.

use lockpoint::interface::Span;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::control_plane::ChangeId;
use super::simulation::Action;
use super::topology::{Topology, RACKS};

/// Warm-up time of a fleet after its last start, before the measurement.
const WARM_UP: Span = Span::from_millis(3_000);
/// Warm-up time with a control plane, whose members join one after the other.
const WARM_UP_JOINING: Span = Span::from_millis(11_000);
/// Time from the start of the measurement to the fault, and from the fault to the tracked updates.
const STEP: Span = Span::from_millis(1_000);
/// A restarting zone is down for this share of the measurement.
const ZONE_DOWN_SHARE: f64 = 0.25;
/// A region is cut off for this share of the measurement.
const REGION_CUT_SHARE: f64 = 0.5;
/// Replacements are spread over this share of the measurement; one controller in `REPLACED_ONE_IN` is replaced.
const REPLACING_SHARE: f64 = 0.5;
const REPLACED_ONE_IN: u16 = 24;
/// Datagrams lost per thousand in the fault `Loss`.
const LOSS_PER_THOUSAND: u16 = 100;

/// The injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// One controller dies.
    OneDies,
    /// Controllers are replaced one after the other, each at a new address.
    Replacements,
    /// A rack fails, with its controllers and call servers.
    RackLost,
    /// A zone fails, and all its controllers and call servers restart at once.
    ZoneRestarts,
    /// A region is cut off from the others, and reconnected later.
    RegionCut,
    /// A tenth of the datagrams are lost.
    Loss,
}

/// All faults, in the order of the table.
pub const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::OneDies,
    Fault::Replacements,
    Fault::RackLost,
    Fault::ZoneRestarts,
    Fault::RegionCut,
    Fault::Loss,
];

impl Fault {
    /// Name in the table and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::OneDies => "one-dies",
            Fault::Replacements => "replacements",
            Fault::RackLost => "rack-lost",
            Fault::ZoneRestarts => "zone-restarts",
            Fault::RegionCut => "region-cut",
            Fault::Loss => "loss",
        }
    }
}

/// The size and layout that a script is written for.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Number of controllers.
    pub controllers: u16,
    /// Number of call servers.
    pub servers: u16,
    /// Location of the members.
    pub topology: Topology,
    /// Time within which all controllers start.
    pub start_window: Span,
    /// Whether there are control-plane sources; their numbers follow those of the controllers.
    pub has_sources: bool,
}

impl Fleet {
    /// Time from the beginning to the start of the measurement.
    pub fn warm_up(&self) -> Span {
        let after = if self.has_sources { WARM_UP_JOINING } else { WARM_UP };
        Span(self.start_window.0 + after.0)
    }
}

/// Actions, each with its time after the beginning.
pub type Script = Vec<(Span, Action)>;

struct ScriptBuilder {
    fleet: Fleet,
    rng: Pcg64Mcg,
    script: Script,
    /// Length of the measurement.
    measured: Span,
}

/// Generates the script of a fault.
pub fn script(fault: Fault, fleet: Fleet, measured: Span, seed: u64) -> Script {
    let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0066_6175_6c74);
    let mut builder = ScriptBuilder { fleet, rng, script: Vec::new(), measured };
    let at = fleet.warm_up().plus(STEP);
    match fault {
        Fault::None => builder.drain_and_change_at(at.plus(STEP), |_| true, 0),
        Fault::OneDies => builder.one_dies(at),
        Fault::Replacements => builder.replacements(at),
        Fault::RackLost => builder.rack_lost(at),
        Fault::ZoneRestarts => builder.zone_restarts(at),
        Fault::RegionCut => builder.region_cut(at),
        Fault::Loss => {
            builder.add(at, Action::SetLossPerThousand(LOSS_PER_THOUSAND));
            builder.drain_and_change_at(at.plus(STEP), |_| true, 0);
        }
    }
    builder.script
}

trait Plus {
    fn plus(self, other: Span) -> Span;
}

impl Plus for Span {
    fn plus(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl ScriptBuilder {
    fn add(&mut self, at: Span, action: Action) {
        self.script.push((at, action));
    }

    fn draw(&mut self, below: u16) -> u16 {
        (self.rng.next_u32() % u32::from(below.max(1))) as u16
    }

    /// Draws a member below `count` that satisfies `wanted`; 0 if there is none.
    fn draw_where(&mut self, count: u16, wanted: impl Fn(u16) -> bool) -> u16 {
        let first = self.draw(count);
        let all = (0..count).map(|offset| (first + offset) % count);
        all.into_iter().find(|member| wanted(*member)).unwrap_or(0)
    }

    /// Announces a drain to one controller and changes the configuration, both on one side of a partition.
    fn drain_and_change_at(&mut self, at: Span, side: impl Fn(u16) -> bool + Copy, change: u32) {
        let Fleet { controllers, servers, has_sources, .. } = self.fleet;
        let notified = self.draw_where(controllers, side);
        let server = self.draw_where(servers, side);
        self.add(at, Action::NotifyDrain(notified, server));
        let proposer = if has_sources {
            let sources = super::directory::CENTRAL_SERVERS;
            controllers + self.draw_where(sources, |source| side(controllers + source))
        } else {
            notified
        };
        self.add(at, Action::Propose(proposer, ChangeId(change)));
    }

    fn one_dies(&mut self, at: Span) {
        let dies = self.draw(self.fleet.controllers);
        self.add(at, Action::Kill(dies));
        self.drain_and_change_at(at.plus(STEP), |member| member != dies, 0);
    }

    fn replacements(&mut self, at: Span) {
        let controllers = self.fleet.controllers;
        let count = (controllers / REPLACED_ONE_IN).max(1);
        let first = self.draw(controllers);
        let pause = self.measured.scale(REPLACING_SHARE / f64::from(count));
        let replaced = |member: u16| {
            let distance = (member + controllers - first) % controllers;
            distance.is_multiple_of(REPLACED_ONE_IN) && distance / REPLACED_ONE_IN < count
        };
        for no in 0..count {
            let member =
                ((u32::from(first) + u32::from(no * REPLACED_ONE_IN)) % u32::from(controllers)) as u16;
            self.add(Span(at.0 + pause.0 * u64::from(no)), Action::Replace(member));
        }
        self.drain_and_change_at(at.plus(STEP), |member| !replaced(member), 0);
    }

    fn rack_lost(&mut self, at: Span) {
        let (topology, rack) = (self.fleet.topology, self.draw(RACKS));
        let lost = move |member: u16| topology.rack_of(member) == rack;
        for server in (0..self.fleet.servers).filter(|server| lost(*server)) {
            self.add(at, Action::KillServer(server));
        }
        for member in (0..self.fleet.controllers).filter(|member| lost(*member)) {
            self.add(at, Action::Kill(member));
        }
        self.drain_and_change_at(at.plus(STEP), move |member| !lost(member), 0);
    }

    fn zone_restarts(&mut self, at: Span) {
        let topology = self.fleet.topology;
        let zone = self.draw(topology.zones);
        let lost = move |member: u16| topology.zone_of(member) == zone;
        let back = at.plus(self.measured.scale(ZONE_DOWN_SHARE));
        for server in (0..self.fleet.servers).filter(|server| lost(*server)) {
            self.add(at, Action::KillServer(server));
            self.add(back, Action::StartServer(server));
        }
        for member in (0..self.fleet.controllers).filter(|member| lost(*member)) {
            self.add(at, Action::Kill(member));
            self.add(back, Action::Restart(member));
        }
        self.drain_and_change_at(back.plus(STEP), move |member| !lost(member), 0);
    }

    fn region_cut(&mut self, at: Span) {
        let topology = self.fleet.topology;
        let region = self.draw(topology.regions);
        let inside = move |member: u16| topology.region_of(member) == region;
        self.add(at, Action::CutRegion(region));
        self.drain_and_change_at(at.plus(STEP), inside, 0);
        self.drain_and_change_at(at.plus(STEP), move |member| !inside(member), 1);
        self.add(at.plus(self.measured.scale(REGION_CUT_SHARE)), Action::HealRegions);
    }
}
