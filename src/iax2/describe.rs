//! How IAX2's media formats and a call's description stand for each other, so that either passes unchanged.

use crate::iax2::frame::{ie, Elements};

/// G.711 mu-law, which every side can do.
const ULAW: u32 = 0x0000_0004;

/// The description of a leg that came in: the one that it carries, else its formats put as text.
pub fn description_of(elements: &Elements) -> String {
    if let Some(text) = elements.variable("desc") {
        return text;
    }
    let format = elements.number(ie::FORMAT).unwrap_or(ULAW);
    let capability = elements.number(ie::CAPABILITY).unwrap_or(format);
    format!("iax2 capability={capability:08x} format={format:08x}")
}

/// Puts a description on a leg that goes out: as formats where it was made of some, else in full.
pub fn add_description(elements: Elements, body: &str) -> Elements {
    let formats = formats_in(body);
    let (capability, format) = formats.unwrap_or((ULAW, ULAW));
    let elements =
        elements.with(ie::CAPABILITY, &capability.to_be_bytes()).with(ie::FORMAT, &format.to_be_bytes());
    if formats.is_some() {
        elements
    } else {
        elements.with_variable("desc", body)
    }
}

fn formats_in(body: &str) -> Option<(u32, u32)> {
    let (capability, format) = body.strip_prefix("iax2 capability=")?.split_once(" format=")?;
    let number = |hex: &str| u32::from_str_radix(hex, 16).ok().filter(|n| format!("{n:08x}") == hex);
    Some((number(capability)?, number(format)?))
}
