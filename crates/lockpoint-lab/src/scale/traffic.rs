//! Counters of control traffic, kept by the links for each member.

/// Traffic of one member. Bytes are those of the payload, without the 28 bytes of UDP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

impl Traffic {
    /// Counts a sent datagram.
    pub fn sent(&mut self, bytes: usize) {
        self.datagrams_out += 1;
        self.bytes_out += bytes as u64;
    }

    /// Counts a received datagram.
    pub fn received(&mut self, bytes: usize) {
        self.datagrams_in += 1;
        self.bytes_in += bytes as u64;
    }

    /// The traffic since an earlier count.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            datagrams_out: self.datagrams_out - earlier.datagrams_out,
            bytes_out: self.bytes_out - earlier.bytes_out,
            datagrams_in: self.datagrams_in - earlier.datagrams_in,
            bytes_in: self.bytes_in - earlier.bytes_in,
        }
    }
}

/// Mean and maximum of a value over all members.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanMax {
    /// The mean.
    pub mean: f64,
    /// The maximum.
    pub max: f64,
}

impl MeanMax {
    /// Mean and maximum of these values; zero if there are none.
    pub fn of(values: impl Iterator<Item = f64>) -> MeanMax {
        let (mut count, mut sum, mut max) = (0_u32, 0.0, 0.0_f64);
        for value in values {
            count += 1;
            sum += value;
            max = max.max(value);
        }
        MeanMax { mean: sum / f64::from(count.max(1)), max }
    }
}
