//! Services and their call servers: a few services with many call servers, many services with two or three.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Call servers of a large service.
const LARGE: u16 = 60;
/// One service in this many is large; there is at least one.
const ONE_LARGE_IN: u16 = 15;
/// Minimum and maximum number of call servers of a small service.
const SMALL: (u16, u16) = (2, 3);

/// The call servers of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Numbers of its call servers.
    pub servers: Vec<u16>,
}

/// Generates the services from a seed. Call servers are taken from a shuffled ring; if the services need more than there
/// are, some call servers belong to several services.
pub fn draw(services: u16, servers: u16, seed: u64) -> Vec<Service> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7365_7276);
    let ring = shuffled(servers, &mut rng);
    let large = (services / ONE_LARGE_IN).max(1);
    let mut next = 0;
    let mut drawn = Vec::new();
    for service in 0..services {
        let size = if service < large { LARGE } else { small_size(&mut rng) };
        let members = (0..size.min(servers)).map(|offset| ring[(next + usize::from(offset)) % ring.len()]);
        drawn.push(Service { servers: members.collect() });
        next += usize::from(size);
    }
    drawn
}

fn small_size(rng: &mut Pcg64Mcg) -> u16 {
    let (fewest, most) = SMALL;
    fewest + (rng.next_u32() % u32::from(most - fewest + 1)) as u16
}

fn shuffled(count: u16, rng: &mut Pcg64Mcg) -> Vec<u16> {
    let mut numbers: Vec<u16> = (0..count.max(1)).collect();
    for last in (1..numbers.len()).rev() {
        let other = (rng.next_u64() % (last as u64 + 1)) as usize;
        numbers.swap(last, other);
    }
    numbers
}
