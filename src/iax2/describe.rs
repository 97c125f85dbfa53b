//! Conversion between IAX2 media formats and the textual description of a call, so that either passes the controller
//! unchanged.

use crate::iax2::frame::{ie, Elements};

/// G.711 mu-law, which every endpoint supports.
const ULAW: u32 = 0x0000_0004;

/// The description that received elements carry: the variable `desc`, else their media formats as text.
pub fn description_of(elements: &Elements) -> String {
    if let Some(text) = elements.variable("desc") {
        return text;
    }
    let format = elements.number(ie::FORMAT).unwrap_or(ULAW);
    let capability = elements.number(ie::CAPABILITY).unwrap_or(format);
    format!("iax2 capability={capability:08x} format={format:08x}")
}

/// Adds a description to outgoing elements: as media formats if it was made from them by [`description_of`], else as
/// the variable `desc`.
pub fn add_description(elements: Elements, body: &str) -> Elements {
    let formats = formats_of(body);
    let (capability, format) = formats.unwrap_or((ULAW, ULAW));
    let elements =
        elements.with(ie::CAPABILITY, &capability.to_be_bytes()).with(ie::FORMAT, &format.to_be_bytes());
    if formats.is_some() {
        elements
    } else {
        elements.with_variable("desc", body)
    }
}

/// The capability and format of a description that [`description_of`] made from media formats.
fn formats_of(body: &str) -> Option<(u32, u32)> {
    let (capability, format) = body.strip_prefix("iax2 capability=")?.split_once(" format=")?;
    let parse_hex = |hex: &str| u32::from_str_radix(hex, 16).ok().filter(|n| format!("{n:08x}") == hex);
    Some((parse_hex(capability)?, parse_hex(format)?))
}
