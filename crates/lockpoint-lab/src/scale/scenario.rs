//! The faults, and what happens when in each.

use lockpoint::interface::Span;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::control_plane::ChangeId;
use super::simulation::Action;
use super::topology::{Topology, RACKS};

/// How long a fleet is at work, after its last start, before anything is measured.
const WARM_UP: Span = Span::from_millis(3_000);
/// The same with a control plane, whose members join one after the other.
const WARM_UP_JOINING: Span = Span::from_millis(11_000);
/// From the beginning of the measurement to the fault, and from there to the news that is followed.
const STEP: Span = Span::from_millis(1_000);
/// A zone that restarts is away for this share of the time measured.
const ZONE_AWAY: f64 = 0.25;
/// A region is cut off for this share of the time measured.
const REGION_CUT: f64 = 0.5;
/// Replacements come for this share of the time measured, one in so many controllers in all.
const REPLACING: f64 = 0.5;
const REPLACED_ONE_IN: u16 = 24;
/// Datagrams of a thousand that get lost in the fault of that name.
const LOST_OF_THOUSAND: u16 = 100;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    None,
    /// One controller dies.
    OneDies,
    /// Controllers are replaced one after the other, each at a new address.
    Replacements,
    /// A rack is gone at once, its call servers too.
    RackLost,
    /// A zone is gone, and all in it start again at once.
    ZoneRestarts,
    /// A region is cut off from the others, and is there again.
    RegionCut,
    /// A tenth of the datagrams gets lost.
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
    /// Its name in the table and on the command line.
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
    /// Controllers.
    pub controllers: u16,
    /// Call servers.
    pub servers: u16,
    /// Where they stand.
    pub topology: Topology,
    /// The time within which all start.
    pub starts_within: Span,
    /// Whether machines are set aside for control: they have the numbers after the controllers.
    pub has_sources: bool,
}

impl Fleet {
    /// How long it is at work before anything is measured.
    pub fn warm_up(&self) -> Span {
        let after = if self.has_sources { WARM_UP_JOINING } else { WARM_UP };
        Span(self.starts_within.0 + after.0)
    }
}

/// What happens, and how long after the beginning.
pub type Script = Vec<(Span, Action)>;

struct Author {
    fleet: Fleet,
    rng: Pcg64Mcg,
    script: Script,
    /// How long is measured.
    measured: Span,
}

/// Writes the script of a fault.
pub fn script(fault: Fault, fleet: Fleet, measured: Span, seed: u64) -> Script {
    let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0066_6175_6c74);
    let mut author = Author { fleet, rng, script: Vec::new(), measured };
    let at = fleet.warm_up().plus(STEP);
    match fault {
        Fault::None => author.news_from(at.plus(STEP), |_| true, 0),
        Fault::OneDies => author.one_dies(at),
        Fault::Replacements => author.replacements(at),
        Fault::RackLost => author.rack_lost(at),
        Fault::ZoneRestarts => author.zone_restarts(at),
        Fault::RegionCut => author.region_cut(at),
        Fault::Loss => {
            author.add(at, Action::LoseOfThousand(LOST_OF_THOUSAND));
            author.news_from(at.plus(STEP), |_| true, 0);
        }
    }
    author.script
}

trait Plus {
    fn plus(self, other: Span) -> Span;
}

impl Plus for Span {
    fn plus(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl Author {
    fn add(&mut self, at: Span, action: Action) {
        self.script.push((at, action));
    }

    fn draw(&mut self, below: u16) -> u16 {
        (self.rng.next_u32() % u32::from(below.max(1))) as u16
    }

    /// A member below `count` that is as wanted; the first one where the draws find none.
    fn draw_where(&mut self, count: u16, wanted: impl Fn(u16) -> bool) -> u16 {
        let first = self.draw(count);
        let all = (0..count).map(|offset| (first + offset) % count);
        all.into_iter().find(|member| wanted(*member)).unwrap_or(0)
    }

    /// A drain is told to one controller, and a configuration is changed, both on this side.
    fn news_from(&mut self, at: Span, side: impl Fn(u16) -> bool + Copy, change: u32) {
        let Fleet { controllers, servers, has_sources, .. } = self.fleet;
        let teller = self.draw_where(controllers, side);
        let server = self.draw_where(servers, side);
        self.add(at, Action::DrainToldTo(teller, server));
        let proposer = if has_sources {
            let sources = super::directory::MACHINES;
            controllers + self.draw_where(sources, |source| side(controllers + source))
        } else {
            teller
        };
        self.add(at, Action::Propose(proposer, ChangeId(change)));
    }

    fn one_dies(&mut self, at: Span) {
        let dies = self.draw(self.fleet.controllers);
        self.add(at, Action::Kill(dies));
        self.news_from(at.plus(STEP), |member| member != dies, 0);
    }

    fn replacements(&mut self, at: Span) {
        let controllers = self.fleet.controllers;
        let count = (controllers / REPLACED_ONE_IN).max(1);
        let first = self.draw(controllers);
        let pause = self.measured.scale(REPLACING / f64::from(count));
        let replaced = |member: u16| {
            let distance = (member + controllers - first) % controllers;
            distance.is_multiple_of(REPLACED_ONE_IN) && distance / REPLACED_ONE_IN < count
        };
        for no in 0..count {
            let member =
                ((u32::from(first) + u32::from(no * REPLACED_ONE_IN)) % u32::from(controllers)) as u16;
            self.add(Span(at.0 + pause.0 * u64::from(no)), Action::Replace(member));
        }
        self.news_from(at.plus(STEP), |member| !replaced(member), 0);
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
        self.news_from(at.plus(STEP), move |member| !lost(member), 0);
    }

    fn zone_restarts(&mut self, at: Span) {
        let topology = self.fleet.topology;
        let zone = self.draw(topology.zones);
        let lost = move |member: u16| topology.zone_of(member) == zone;
        let back = at.plus(self.measured.scale(ZONE_AWAY));
        for server in (0..self.fleet.servers).filter(|server| lost(*server)) {
            self.add(at, Action::KillServer(server));
            self.add(back, Action::StartServer(server));
        }
        for member in (0..self.fleet.controllers).filter(|member| lost(*member)) {
            self.add(at, Action::Kill(member));
            self.add(back, Action::Restart(member));
        }
        self.news_from(back.plus(STEP), move |member| !lost(member), 0);
    }

    fn region_cut(&mut self, at: Span) {
        let topology = self.fleet.topology;
        let region = self.draw(topology.regions);
        let inside = move |member: u16| topology.region_of(member) == region;
        self.add(at, Action::CutRegion(region));
        self.news_from(at.plus(STEP), inside, 0);
        self.news_from(at.plus(STEP), move |member| !inside(member), 1);
        self.add(at.plus(self.measured.scale(REGION_CUT)), Action::HealRegions);
    }
}
