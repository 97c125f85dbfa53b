//! IAX2 stand-ins.
