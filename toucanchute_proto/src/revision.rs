use std::fmt;

/// Number of low bits that hold the number of a revision. The era is in the bits above.
const NUMBER_BITS: u32 = 40;

/// Revision of a key-value service, which increases with each change.
///
/// The service may come back from an older copy and give out numbers again. Each time it does, its
/// era rises, and a revision of a later era is greater than all of the eras before. Both are in one
/// number, so that the order of these numbers is the order of the revisions.
///
/// As the expected revision of a compare-and-swap, zero means that the key must not exist.
///
/// ```
/// use toucanchute_proto::Revision;
///
/// let before = Revision::new(1, 907);
/// let after = Revision::new(2, 850);
/// assert!(before < after);
/// assert_eq!(after.number(), 850);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Revision = Revision(0);

    /// Returns the revision with a number that the service gave out in an era.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Revision {
        let most = (1 << NUMBER_BITS) - 1;
        Revision(era << NUMBER_BITS | number.min(most))
    }

    /// Returns the era; 0 if the service does not name one.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number within the era.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns the revision after this one.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}
