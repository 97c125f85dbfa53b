//! Control traffic as the links count it, by member.

/// What one member sent and received. Bytes are those of the payload, without the 28 of UDP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Datagrams that arrived.
    pub datagrams_in: u64,
    /// Their bytes.
    pub bytes_in: u64,
}

impl Traffic {
    /// A datagram of so many bytes was sent.
    pub fn sent(&mut self, bytes: usize) {
        self.datagrams_out += 1;
        self.bytes_out += bytes as u64;
    }

    /// A datagram of so many bytes arrived.
    pub fn received(&mut self, bytes: usize) {
        self.datagrams_in += 1;
        self.bytes_in += bytes as u64;
    }

    /// What came since an earlier count.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            datagrams_out: self.datagrams_out - earlier.datagrams_out,
            bytes_out: self.bytes_out - earlier.bytes_out,
            datagrams_in: self.datagrams_in - earlier.datagrams_in,
            bytes_in: self.bytes_in - earlier.bytes_in,
        }
    }
}

/// A figure over all members: the mean and the highest.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanMax {
    /// The mean.
    pub mean: f64,
    /// The highest.
    pub max: f64,
}

impl MeanMax {
    /// Of these values; zero where there are none.
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
