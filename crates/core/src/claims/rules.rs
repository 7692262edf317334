//! The rules that make claims safe, and a way for tests to disable one.

/// The rules that a replica or a run follows. Only [`Rules::default`] is safe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rules {
    broken: Option<Rule>,
}

/// One rule; [the module](super) explains why each is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Givers of a copy record the copier's incarnation and refuse requests that list an older one.
    FenceCopies,
    /// A replica that restarted abstains until it has copied.
    Abstain,
    /// Givers of a copy for a new epoch refuse the old epoch.
    RefuseOldEpoch,
    /// `not-run` is reported only after a majority has sealed the attempt.
    Seal,
    /// A copied grant is never acknowledged.
    BlockOnlyCopies,
}

impl Rules {
    /// All rules but one. **For tests only**: requests may run twice under such rules. Daemons use
    /// [`Rules::default`] only.
    pub const fn broken_for_tests(rule: Rule) -> Self {
        Self { broken: Some(rule) }
    }

    /// Whether `rule` is followed.
    pub(crate) fn obeys(self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }
}
