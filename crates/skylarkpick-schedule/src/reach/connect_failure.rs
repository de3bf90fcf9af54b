//! How attempts to connect to targets fail.

/// Why a connection to a target failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectFailure {
    /// The target's VM refused or reset it.
    Refused,
    /// There was no response.
    TimedOut,
}

impl ConnectFailure {
    /// Returns the value of the metrics tag.
    ///
    /// ```
    /// assert_eq!(skylarkpick_schedule::ConnectFailure::Refused.name(), "refused");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            ConnectFailure::Refused => "refused",
            ConnectFailure::TimedOut => "timed_out",
        }
    }
}
